package placer

import (
	"math"
	"slices"
	"time"

	"chervilrail.example/core/gauger"
	"chervilrail.example/core/messenger"
)

const (
	// awayRate is how much of its requests an entry instance moves between regions in a second while nothing is
	// broken. Twice that in two seconds stays under the 15% that links between regions are planned for, with room
	// for chance.
	awayRate = 0.055
	// returnRate is the same for requests that come back to the home region. They wait there no less, so nothing is lost
	// by staying away, while the next peak of the home region is met by shares that can take it.
	returnRate = 0.03
	// toleranceFraction is how far a region may be ahead of its share, as a part of two seconds' requests; minPlay is the least,
	// in requests. More would let chance add up to moves that links are not planned for, less would refuse requests that
	// could be served on time.
	toleranceFraction = 0.02
	minTolerance      = 1.4
	// gapDivisor is the weight of the newest gap between requests in their rate: a fiftieth.
	gapDivisor = 50
	// deficitDecay is the time in which what a region is ahead or behind of its share loses half of its weight: moves between
	// regions are judged over two seconds, and what chance did before need not be made up for.
	deficitDecay = 2 * time.Second
	// referenceEntries is how many entry instances a region has where each may be ahead by playPart. Of more instances the
	// deviations cancel out in part, so each may have more.
	referenceEntries = 9
	// highLoad and roomy are the loads of the home region, in requests per slot, from which on requests move away and
	// below which they come home; in between they stay, for each move makes objects run cold once.
	highLoad = 0.85
	lowLoad  = 0.6
	// maxLoadRatio is how much less load than the home region another one must have to take its requests.
	maxLoadRatio = 0.7
	// loadDivisor is the weight of the newest report in a region's load.
	loadDivisor = 20
	// loadValidity is how long a region's load holds without a report, and loadLife the time in which it then loses two
	// thirds of its weight. A region that requests have left altogether would otherwise look crowded for ever, and they
	// would never come home. Fading at once would make regions look emptier the less an instance hears of them.
	loadValidity = 2 * time.Second
	loadDecay    = 2 * time.Second
	// unlimitedPeriod is how long a failure or a change of targets lets requests move at once: capacity was lost or
	// found, and slow steps would refuse what can be served.
	unlimitedPeriod = 4 * time.Second
)

// regionSplit keeps the parts of the requests that go to each region from jumping. It answers the peak that saturates one
// region: all entry instances there would turn to another region in the same second, and swamp its links and targets.
type regionSplit struct {
	home    string
	regions []string
	// shares are the parts that hold now, owed how many requests each region is behind its share, loads the requests
	// per slot that its targets reported.
	shares   map[string]float64
	deficits map[string]float64
	loads    map[string]regionLoad
	// entries is how many entry instances a region has.
	entries        float64
	lastArrival    time.Time
	unlimitedUntil time.Time
	// rate is the smoothed number of requests a second.
	rate float64
}

// update takes a changed set of targets; slots holds how many each region has. Until the first request the shares
// update the slots: targets announce themselves one by one, and shares taken from the first few would send a region's
// first requests to where it has no room, and move away from there in slow steps only.
func (s *regionSplit) update(home string, slots map[string]float64) {
	s.home = home
	var regions []string
	for r := range slots {
		regions = append(regions, r)
	}
	slices.Sort(regions)
	if slices.Equal(regions, s.regions) && !s.lastArrival.IsZero() {
		return
	}
	s.regions = regions
	s.shares = initialShares(home, slots)
	s.deficits, s.loads = map[string]float64{}, map[string]regionLoad{}
}

// initialShares keeps at home what the home region's slots can take if all regions ask alike, and sends the rest where
// slots are left over.
func initialShares(home string, slots map[string]float64) map[string]float64 {
	total := 0.0
	for _, n := range slots {
		total += n
	}
	mean := total / float64(max(1, len(slots)))
	out := map[string]float64{}
	spare := 0.0
	for r, n := range slots {
		if r != home {
			spare += max(0, n-mean)
		}
	}
	if _, ok := slots[home]; ok {
		out[home] = 1
	}
	if spare == 0 || mean == 0 {
		return evenShares(out, slots)
	}
	out[home] = min(1, slots[home]/mean)
	for r, n := range slots {
		if r != home {
			out[r] = (1 - out[home]) * max(0, n-mean) / spare
		}
	}
	return out
}

func evenShares(out, slots map[string]float64) map[string]float64 {
	if len(out) > 0 {
		return out
	}
	for r := range slots {
		out[r] = 1 / float64(len(slots))
	}
	return out
}

// liftLimit lets requests move at once for a while.
func (s *regionSplit) liftLimit(now time.Time) { s.unlimitedUntil = now.Add(unlimitedPeriod) }

// unlimited reports whether requests may move at once.
func (s *regionSplit) unlimited(now time.Time) bool { return now.Before(s.unlimitedUntil) }

// allows reports whether one more request may go to a region.
func (s *regionSplit) allows(now time.Time, region string) bool {
	return s.unlimited(now) || s.deficits[region] > 1-s.tolerance()
}

// tolerance is how many requests a region may be ahead of its share.
func (s *regionSplit) tolerance() float64 {
	return max(minTolerance, toleranceFraction*2*s.rate*math.Sqrt(max(1, s.entries/referenceEntries)))
}

// regionLoad is the smoothed number of requests per slot of a region's targets, as of a time.
type regionLoad struct {
	perSlot float64
	at      time.Time
}

func (s *regionSplit) load(now time.Time, region string) float64 {
	l := s.loads[region]
	return l.perSlot * gauger.Fade(now.Sub(l.at)-loadValidity, loadDecay)
}

// observe takes a target's report.
func (s *regionSplit) observe(now time.Time, t *Target, l *messenger.Load) {
	reported, ok := l.PerSlot()
	if s.loads == nil || !ok {
		return
	}
	old := s.load(now, t.Region)
	s.loads[t.Region] = regionLoad{perSlot: old + (reported-old)/loadDivisor, at: now}
}

// recordArrival counts a request, and moves the shares a little to where there is room.
func (s *regionSplit) recordArrival(now time.Time) {
	elapsed := time.Duration(0)
	if !s.lastArrival.IsZero() {
		elapsed = min(time.Second, max(0, now.Sub(s.lastArrival)))
	}
	s.lastArrival = now
	s.updateRate(elapsed)
	kept := gauger.Fade(elapsed, deficitDecay)
	for _, r := range s.regions {
		s.deficits[r] *= kept
	}
	s.adjustShares(now, elapsed.Seconds())
}

// updateRate follows the rate of requests from the time between two.
func (s *regionSplit) updateRate(elapsed time.Duration) {
	if elapsed <= 0 || elapsed >= time.Second {
		return
	}
	gap := 1.0
	if s.rate > 0 {
		gap = 1 / s.rate
	}
	gap += (elapsed.Seconds() - gap) / gapDivisor
	s.rate = 1 / gap
}

// adjustShares moves the shares for a part of a second: away from a crowded home region to the lightest one, or home again from
// the heaviest.
func (s *regionSplit) adjustShares(now time.Time, seconds float64) {
	if !slices.Contains(s.regions, s.home) {
		return
	}
	leastLoaded, mostLoaded := s.leastAndMostLoaded(now)
	if leastLoaded == "" {
		return
	}
	home := s.load(now, s.home)
	switch {
	case home > highLoad && s.load(now, leastLoaded) < maxLoadRatio*home:
		s.shift(s.home, leastLoaded, awayRate*seconds)
	case home < lowLoad:
		s.shift(mostLoaded, s.home, returnRate*seconds)
	}
}

// leastAndMostLoaded returns the regions but the home one with the least load, and with the most of those that have a share.
func (s *regionSplit) leastAndMostLoaded(now time.Time) (leastLoaded, mostLoaded string) {
	for _, r := range s.regions {
		if r == s.home {
			continue
		}
		if leastLoaded == "" || s.load(now, r) < s.load(now, leastLoaded) {
			leastLoaded = r
		}
		if s.shares[r] > 0 && (mostLoaded == "" || s.load(now, r) > s.load(now, mostLoaded)) {
			mostLoaded = r
		}
	}
	return leastLoaded, mostLoaded
}

func (s *regionSplit) shift(from, to string, amount float64) {
	if from == "" {
		return
	}
	amount = min(amount, s.shares[from])
	s.shares[from] -= amount
	s.shares[to] += amount
}

// recordSend counts a request that goes to a region.
func (s *regionSplit) recordSend(region string) {
	for _, r := range s.regions {
		s.deficits[r] += s.shares[r]
	}
	s.deficits[region]--
}

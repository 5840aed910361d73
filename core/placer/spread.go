package placer

import (
	"math"
	"slices"
	"time"

	"chervilrail.example/core/gauger"
	"chervilrail.example/core/messenger"
)

const (
	// awayRate is the fraction of its requests that an entry instance moves from its home region to another one in a
	// second while nothing is broken. Two seconds of it stay under the 15% that links between regions are planned for,
	// with room for random variation.
	awayRate = 0.055
	// returnRate is the same for requests that return to the home region. They would not wait less at home, so nothing
	// is lost by returning slowly, and the next peak of the home region meets shares that can take it.
	returnRate = 0.03
	// toleranceFraction is how far a region may exceed its share, as a fraction of the requests of two seconds;
	// minTolerance is the least, in requests. With more, random variation would add up to moves that links are not
	// planned for; with less, requests would be refused that could be served on time.
	toleranceFraction = 0.02
	minTolerance      = 1.4
	// gapDivisor sets the weight of the newest gap between requests in their rate: one fiftieth.
	gapDivisor = 50
	// deficitDecay is the time in which a region's surplus or deficit against its share loses almost two thirds of its
	// weight. Moves between regions are judged over two seconds, and earlier random variation need not be made up for.
	deficitDecay = 2 * time.Second
	// referenceEntries is the number of entry instances in a region for which toleranceFraction holds. With more
	// instances the deviations partly cancel out, so each may deviate more.
	referenceEntries = 9
	// highLoad and lowLoad are the loads of the home region, in requests per slot, above which requests move away and
	// below which they return. In between they stay, because each move makes objects run cold once.
	highLoad = 0.85
	lowLoad  = 0.6
	// maxLoadRatio is the highest load, relative to that of the home region, at which another region takes its
	// requests.
	maxLoadRatio = 0.7
	// loadDivisor sets the weight of the newest report in a region's load: one twentieth.
	loadDivisor = 20
	// loadValidity is how long a region's load holds without a report, and loadDecay the time in which it then loses
	// almost two thirds of its weight. Without decay a region that all requests have left would keep its high load, and
	// they would never return. With decay from the start, regions would look emptier the fewer reports an instance
	// receives from them.
	loadValidity = 2 * time.Second
	loadDecay    = 2 * time.Second
	// unlimitedPeriod is how long requests may move without limit after a failure or a change of targets: capacity was
	// lost or gained, and slow steps would refuse requests that can be served.
	unlimitedPeriod = 4 * time.Second
)

// regionSplit limits how fast the shares of requests that go to each region change. It guards against a peak that
// saturates one region: all entry instances there would switch to another region in the same second and overload its
// links and targets.
type regionSplit struct {
	home    string
	regions []string
	// shares are the current shares of the regions, deficits how many requests each region is short of its share
	// (negative if it exceeds it), loads the requests per slot that its targets reported.
	shares   map[string]float64
	deficits map[string]float64
	loads    map[string]regionLoad
	// entries is the number of entry instances per region.
	entries        float64
	lastArrival    time.Time
	unlimitedUntil time.Time
	// rate is the smoothed number of requests per second.
	rate float64
}

// update applies a changed set of targets; slots holds the number of slots of each region. Until the first request the
// shares follow the slots: targets announce themselves one by one, and with shares computed from the first few, a
// region's first requests would go to where there is no room, and move away from there only in slow steps.
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

// initialShares keeps at home what the home region's slots can take if all regions have the same demand, and sends the
// rest where slots are left over.
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

// evenShares returns out, or the same share for each region where out is empty.
func evenShares(out, slots map[string]float64) map[string]float64 {
	if len(out) > 0 {
		return out
	}
	for r := range slots {
		out[r] = 1 / float64(len(slots))
	}
	return out
}

// liftLimit allows requests to move without limit for unlimitedPeriod.
func (s *regionSplit) liftLimit(now time.Time) { s.unlimitedUntil = now.Add(unlimitedPeriod) }

// unlimited reports whether requests may move without limit.
func (s *regionSplit) unlimited(now time.Time) bool { return now.Before(s.unlimitedUntil) }

// allows reports whether one more request may go to a region.
func (s *regionSplit) allows(now time.Time, region string) bool {
	return s.unlimited(now) || s.deficits[region] > 1-s.tolerance()
}

// tolerance is how many requests a region may exceed its share by.
func (s *regionSplit) tolerance() float64 {
	return max(minTolerance, toleranceFraction*2*s.rate*math.Sqrt(max(1, s.entries/referenceEntries)))
}

// regionLoad is the smoothed number of requests per slot of a region's targets, as of a time.
type regionLoad struct {
	perSlot float64
	at      time.Time
}

// load returns a region's requests per slot; without reports it decays.
func (s *regionSplit) load(now time.Time, region string) float64 {
	l := s.loads[region]
	return l.perSlot * gauger.Decay(now.Sub(l.at)-loadValidity, loadDecay)
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

// recordArrival counts a request, and moves the shares a small step to where there is room.
func (s *regionSplit) recordArrival(now time.Time) {
	elapsed := time.Duration(0)
	if !s.lastArrival.IsZero() {
		elapsed = min(time.Second, max(0, now.Sub(s.lastArrival)))
	}
	s.lastArrival = now
	s.updateRate(elapsed)
	weight := gauger.Decay(elapsed, deficitDecay)
	for _, r := range s.regions {
		s.deficits[r] *= weight
	}
	s.adjustShares(now, elapsed.Seconds())
}

// updateRate updates the rate of requests with the time between two of them.
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

// adjustShares moves the shares for the given number of seconds: away from an overloaded home region to the least
// loaded one, or back home from the most loaded.
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

// leastAndMostLoaded returns, of the regions other than the home one, the least loaded, and the most loaded of those
// that have a share.
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

// shift moves an amount of the shares from one region to another, at most what the first one has.
func (s *regionSplit) shift(from, to string, amount float64) {
	if from == "" {
		return
	}
	amount = min(amount, s.shares[from])
	s.shares[from] -= amount
	s.shares[to] += amount
}

// recordSend counts a request that is sent to a region.
func (s *regionSplit) recordSend(region string) {
	for _, r := range s.regions {
		s.deficits[r] += s.shares[r]
	}
	s.deficits[region]--
}

package placer

import (
	"slices"
	"time"
)

const (
	// moveRate is how much of its requests an entry instance moves between regions in a second while nothing is
	// broken. Twice that in two seconds stays under the 15% that links between regions are planned for, with room
	// for chance.
	moveRate = 0.055
	// homeRate is the same for requests that come back to the home region. They wait there no less, so nothing is lost
	// by staying away, while the next peak of the home region is met by shares that can take it.
	homeRate = 0.03
	// playPart is how far a region may be ahead of its share, as a part of two seconds' requests; minPlay is the least,
	// in requests.
	playPart = 0.04
	minPlay  = 2
	// wishParts is the weight of the newest choice in the smoothed wish: a fiftieth, about a second of requests.
	wishParts = 50
	// disturbance is how long a failure or a change of targets lets requests move at once: capacity was lost or
	// found, and slow steps would refuse what can be served.
	disturbance = 4 * time.Second
)

// spread keeps the parts of the requests that go to each region from jumping. It answers the peak that saturates one
// region: all entry instances there would turn to another region in the same second, and swamp its links and targets.
type spread struct {
	home    string
	regions []string
	// shares are the parts that hold now, wish what the load alone would choose, owed how many requests each region is
	// behind its share.
	shares map[string]float64
	wish   map[string]float64
	owed   map[string]float64
	at     time.Time
	free   time.Time
	// rate is the smoothed number of requests a second.
	rate float64
}

// follow takes a changed set of targets; slots holds how many each region has. Until the first request the shares
// follow the slots: targets announce themselves one by one, and shares taken from the first few would send a region's
// first requests to where it has no room, and move away from there in slow steps only.
func (s *spread) follow(home string, slots map[string]float64) {
	s.home = home
	var regions []string
	for r := range slots {
		regions = append(regions, r)
	}
	slices.Sort(regions)
	if slices.Equal(regions, s.regions) && !s.at.IsZero() {
		return
	}
	s.regions = regions
	s.shares = firstShares(home, slots)
	s.wish, s.owed = map[string]float64{}, map[string]float64{}
	for r, part := range s.shares {
		s.wish[r] = part
	}
}

// firstShares keeps at home what the home region's slots can take if all regions ask alike, and sends the rest where
// slots are left over.
func firstShares(home string, slots map[string]float64) map[string]float64 {
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
		return even(out, slots)
	}
	out[home] = min(1, slots[home]/mean)
	for r, n := range slots {
		if r != home {
			out[r] = (1 - out[home]) * max(0, n-mean) / spare
		}
	}
	return out
}

func even(out, slots map[string]float64) map[string]float64 {
	if len(out) > 0 {
		return out
	}
	for r := range slots {
		out[r] = 1 / float64(len(slots))
	}
	return out
}

// disturb lets requests move at once for a while.
func (s *spread) disturb(now time.Time) { s.free = now.Add(disturbance) }

// allows reports whether one more request may go to a region.
func (s *spread) allows(now time.Time, region string) bool {
	return now.Before(s.free) || s.owed[region] > 1-max(minPlay, playPart*2*s.rate)
}

// want notes where the load alone would send a request, and moves the shares a little towards that.
func (s *spread) want(now time.Time, region string) {
	for _, r := range s.regions {
		target := 0.0
		if r == region {
			target = 1
		}
		s.wish[r] += (target - s.wish[r]) / wishParts
	}
	elapsed := time.Duration(0)
	if !s.at.IsZero() {
		elapsed = now.Sub(s.at)
	}
	s.at = now
	s.count(elapsed)
	if now.Before(s.free) {
		for _, r := range s.regions {
			s.shares[r], s.owed[r] = s.wish[r], 0
		}
		return
	}
	rate := moveRate
	if s.wish[s.home] > s.shares[s.home] {
		rate = homeRate
	}
	s.step(rate * min(1, max(0, elapsed.Seconds())))
}

// count follows the rate of requests from the time between two.
func (s *spread) count(elapsed time.Duration) {
	if elapsed <= 0 || elapsed > time.Second {
		return
	}
	gap := 1.0
	if s.rate > 0 {
		gap = 1 / s.rate
	}
	gap += (elapsed.Seconds() - gap) / wishParts
	s.rate = 1 / gap
}

// step moves the shares towards the wish, by at most a part of all requests.
func (s *spread) step(most float64) {
	apart := 0.0
	for _, r := range s.regions {
		apart += max(0, s.wish[r]-s.shares[r])
	}
	if apart == 0 {
		return
	}
	part := min(1, most/apart)
	for _, r := range s.regions {
		s.shares[r] += part * (s.wish[r] - s.shares[r])
	}
}

// sent counts a request that goes to a region.
func (s *spread) sent(region string) {
	for _, r := range s.regions {
		s.owed[r] += s.shares[r]
	}
	s.owed[region]--
}

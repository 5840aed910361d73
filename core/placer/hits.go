package placer

const (
	// ranks is how many of an object's hosts are told apart.
	ranks = 4
	// hitParts is the weight of the newest answer in a rank's chance.
	hitParts = 32
)

// firstChances are the chances, before any answer, that an object is warm at its hosts: nearly all requests for it go to
// the first.
var firstChances = [ranks]float64{0.9, 0.4, 0.2, 0.2}

// hits learns how likely a host of each rank has an object warm. No instance sees all requests for an object, so it can't
// know for each one; but all objects are placed alike.
type hits struct {
	misses [ranks]float64
	known  bool
}

func (h *hits) init() {
	if h.known {
		return
	}
	for i, chance := range firstChances {
		h.misses[i] = 1 - chance
	}
	h.known = true
}

// chance is the chance of a rank; rank -1 has none.
func (h *hits) chance(rank int) float64 {
	h.init()
	if rank < 0 {
		return 0
	}
	return 1 - h.misses[min(rank, ranks-1)]
}

// see takes how a request ended. The first host's chance stays as it is: a wait at the target looks like a cold object,
// and would send requests away from the one place where the object is warm.
func (h *hits) see(o Outcome) {
	h.init()
	if o.Took == 0 || o.Rank < 1 {
		return
	}
	miss := 1.0
	if o.Warm {
		miss = 0
	}
	rank := min(o.Rank, ranks-1)
	h.misses[rank] += (miss - h.misses[rank]) / hitParts
}

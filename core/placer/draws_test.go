package placer

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// drawnShift is the shift between two windows that is left if each object runs in one region in both: where it ran most
// often. elsewhere is the fraction of the requests that ran in another region than that.
func drawnShift(now, next []sentObject) (shift, elsewhere float64) {
	counts := map[string]map[string]int{}
	for _, s := range slices.Concat(now, next) {
		if counts[s.key] == nil {
			counts[s.key] = map[string]int{}
		}
		counts[s.key][s.region]++
	}
	usual := map[string]string{}
	for key, regions := range counts {
		for region, n := range regions {
			if best := usual[key]; n > regions[best] || n == regions[best] && region < best {
				usual[key] = region
			}
		}
	}
	settle := func(list []sentObject) []sentObject {
		out := slices.Clone(list)
		for i, s := range list {
			out[i].region = usual[s.key]
			if s.region != usual[s.key] {
				elsewhere++
			}
		}
		return out
	}
	shift = shiftBetween(flows(settle(next)), flows(settle(now)))
	return shift, elsewhere / float64(len(now)+len(next))
}

// Guards against requests that move between regions behind the variation that is left: of the draws of objects, each of
// which has one host. Where more than 0.15 of a region's requests change the region from one window to the next, nearly
// all of them must have run where their objects ran in the window before.
func TestShiftsWithAssignedHostsAreDraws(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 20; seed++ {
		w := coldStartWorld()
		w.assignHosts = true
		w.kinds[0].rate *= 0.8
		r := newSimulation(seed, false, w)
		r.run(30*time.Second, 0.55)
		for window, sends := range r.sends {
			for from, now := range sends {
				next := r.sends[window+1][from]
				shift := shiftBetween(flows(next), flows(now))
				if shift <= 0.15 || time.Duration(window+2)*shiftWindow > r.span {
					continue
				}
				drawn, elsewhere := drawnShift(now, next)
				t.Logf("seed %d window %d region %s: shift %.3f, by draws alone %.3f, elsewhere %.3f", seed, window, from, shift,
					drawn, elsewhere)
				is.True(elsewhere < 0.05)
			}
		}
	}
}

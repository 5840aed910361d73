package placer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// peakWorld is a service whose callers ask for a quarter more than its slots when nothing is warm, with a tenth of the
// targets in a region that has a third of the callers.
func peakWorld() world {
	return world{
		targets: map[string]int{"one": 10, "two": 2, "three": 8}, entries: 3, cacheSize: 42, warmFraction: 0.3,
		kinds: []kind{
			{"browse", 179, 240 * time.Millisecond, 250 * time.Millisecond, 1200 * time.Millisecond, 2, 44, 1},
			{"pay", 99, 312 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond, 1, 24, 1},
		},
	}
}

// manyInstancesWorld is the same service after ten more organisations have joined: many small entry instances, each of
// which sees little of what a target does, and objects that only the callers of one region ask for.
func manyInstancesWorld() world {
	return world{
		targets: map[string]int{"one": 102, "two": 20, "three": 84}, entries: 27, cacheSize: 22, warmFraction: 0.25,
		separateObjects: true,
		kinds: []kind{
			{"browse", 1042, 576 * time.Millisecond, 400 * time.Millisecond, 2500 * time.Millisecond, 2, 241, 1},
			{"pay", 579, 720 * time.Millisecond, 500 * time.Millisecond, 3000 * time.Millisecond, 1, 134, 1},
		},
	}
}

// Callers peak region after region and ask for more than there would be slots for if nothing were warm. The naive
// placement, which considers load alone, has half of the requests late; placed by object most must be on time, and
// nearly none refused.
func TestPlacementByObjectDuringPeaks(t *testing.T) {
	w := peakWorld()
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			naive := newSimulation(seed, true, w)
			naive.run(30*time.Second, 0.55)
			placed := newSimulation(seed, false, w)
			placed.run(30*time.Second, 0.55)
			t.Logf("worst shift %.3f", placed.worstShift())
			is.True(placed.worstShift() < 0.15)
			for _, k := range w.kinds {
				n, p := naive.tallies[k.name], placed.tallies[k.name]
				t.Logf("%s: on time %.3f, naive %.3f; refused %.3f, naive %.3f", k.name,
					p.fraction(p.onTime), n.fraction(n.onTime), p.fraction(p.refused), n.fraction(n.refused))
				is.True(p.fraction(p.onTime) > 0.9)
				is.True(p.fraction(p.onTime) > 1.5*n.fraction(n.onTime))
				is.True(p.fraction(p.refused) < 0.02)
			}
		})
	}
}

// Guards against moves between regions that add up from random variation: a region with few callers sends some more
// requests to one region now and some more to another two seconds later. Without a limit, a fifth of its requests move
// at once, which the links between regions are not planned for.
func TestRandomVariationDoesNotShiftRegions(t *testing.T) {
	for _, load := range []float64{0.8, 1, 1.4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			is := is.New(t)
			worst := 0.0
			for seed := uint64(1); seed <= 10; seed++ {
				w := peakWorld()
				w.separateObjects = true
				for i := range w.kinds {
					w.kinds[i].rate *= load
				}
				r := newSimulation(seed, false, w)
				r.run(30*time.Second, 0.55)
				worst = max(worst, r.worstShift())
			}
			t.Logf("worst shift %.3f", worst)
			is.True(worst < 0.15)
		})
	}
}

// Two and a half times as many callers come at once. Not all can be served; the more urgent kind must not be served
// worse than the less urgent one, and slots must not go to runs that start cold or end late. Without the rules for
// scarce slots, 0.41 of browse and 0.60 of pay are on time here; without the limit on moves between regions, 0.65 and
// 0.88.
func TestOverloadKeepsUrgentRequests(t *testing.T) {
	w := peakWorld()
	for i := range w.kinds {
		w.kinds[i].rate *= 2.5
	}
	is := is.New(t)
	r := newSimulation(7, false, w)
	r.run(20*time.Second, 0.4)
	browse, pay := r.tallies["browse"], r.tallies["pay"]
	t.Logf("pay %+v browse %+v", *pay, *browse)
	is.True(pay.fraction(pay.refused) <= browse.fraction(browse.refused))
	is.True(pay.fraction(pay.onTime) > 0.75)
	is.True(browse.fraction(browse.onTime) > 0.5)
}

// coldStartWorld asks for half of the slots if objects are warm and for more than all of them if they are not; all
// objects start cold.
func coldStartWorld() world {
	return world{
		targets: map[string]int{"one": 18, "two": 6, "three": 18}, entries: 4, cacheSize: 13, warmFraction: 0.3,
		separateObjects: true,
		kinds: []kind{
			{"view", 223, 880 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second, 2, 44, 1},
		},
	}
}

// Guards against a cold state that does not end. All objects start cold, and cold runs of all requests need more than
// all slots. One instance owns each object, so that it runs cold once and not several times at the same time; most
// requests must be on time after the first runs, for as long as the load lasts.
func TestAssignedHostsLeaveColdState(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			w := coldStartWorld()
			w.assignHosts = true
			assigned := newSimulation(seed, false, w)
			assigned.run(30*time.Second, 0.55)
			naive := newSimulation(seed, true, w)
			naive.run(30*time.Second, 0.55)
			a, n := assigned.tallies["view"], naive.tallies["view"]
			t.Logf("on time %.3f, naive %.3f", a.fraction(a.onTime), n.fraction(n.onTime))
			is.True(a.fraction(a.onTime) > 0.8)
			is.True(a.fraction(a.onTime) > 1.5*n.fraction(n.onTime))
		})
	}
}

// Guards against more requests that change the region they run in at once than the links between regions are planned
// for. Objects have hosts in several regions, and by random variation callers ask more for those of one region now and
// more for those of another two seconds later, while some objects leave an overloaded region.
func TestRandomVariationDoesNotShiftRegionsWithAssignedHosts(t *testing.T) {
	for _, load := range []float64{0.8, 1, 1.4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			worst := 0.0
			for seed := uint64(1); seed <= 5; seed++ {
				w := coldStartWorld()
				w.assignHosts = true
				w.kinds[0].rate *= load
				r := newSimulation(seed, false, w)
				r.run(30*time.Second, 0.55)
				worst = max(worst, r.worstShift())
			}
			t.Logf("worst shift %.3f", worst)
			is.New(t).True(worst < 0.15)
		})
	}
}

// Guards against targets that count as empty between reports. Many small entry instances share the targets, and each
// receives a report of a target only every few seconds, with an answer. All targets would get more than their slots,
// and requests would wait in queues where none can be overtaken. With targets counted as empty, and with a host for
// each object in every region, 0.80 of browse and 0.81 of pay are on time here, and 0.72 and 0.74 with a third more
// callers.
func TestManyInstancesWithRareReports(t *testing.T) {
	cases := map[string]struct {
		load        float64
		browse, pay float64
	}{
		"as sized":     {1, 0.82, 0.85},
		"a third more": {1.35, 0.7, 0.8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := manyInstancesWorld()
			for i := range w.kinds {
				w.kinds[i].rate *= c.load
			}
			r := newSimulation(1, false, w)
			r.run(30*time.Second, 0.55)
			browse, pay := r.tallies["browse"], r.tallies["pay"]
			t.Logf("pay %+v browse %+v, worst shift %.3f", *pay, *browse, r.worstShift())
			is.True(browse.fraction(browse.onTime) > c.browse)
			is.True(pay.fraction(pay.onTime) > c.pay)
			is.True(pay.fraction(pay.refused) <= browse.fraction(browse.refused))
			is.True(r.worstShift() < 0.15)
		})
	}
}

// largeWorld is a service with sixty entry instances in each region, each of which sees one in sixty of the requests
// for an object, and targets of three slots. Some objects are requested more often than others. If all objects are
// warm, the requests need a third of the slots.
func largeWorld() world {
	return world{
		targets: map[string]int{"one": 80, "two": 80, "three": 80}, entries: 60, cacheSize: 22, warmFraction: 0.3,
		separateObjects: true, assignHosts: true,
		kinds: []kind{
			{"browse", 330, 1248 * time.Millisecond, 800 * time.Millisecond, 5 * time.Second, 2, 110, 1.5},
			{"pay", 185, 1632 * time.Millisecond, time.Second, 6 * time.Second, 1, 60, 1.5},
		},
	}
}

// withdrawTargets removes a fraction of every region's targets for a while.
func (r *simulation) withdrawTargets(fraction float64, from, until time.Duration) {
	all := slices.Clone(r.specs)
	kept := slices.DeleteFunc(slices.Clone(all), func(s Spec) bool {
		return float64(hashWeight("lost", s.Name)) < fraction*math.MaxUint64
	})
	r.after(from, func() { r.specs = kept; r.updateTargets(r.now) })
	r.after(until, func() { r.specs = all; r.updateTargets(r.now) })
}

// Guards against targets that hold three times their slots for the rest of a day while others idle: without shared
// loads no instance sees what the others assign to a target, and objects that a loss of targets has put together stay
// together.
func TestLoadIsBalancedAtScale(t *testing.T) {
	w := largeWorld()
	for i := range w.kinds {
		w.kinds[i].rate *= 1.5
	}
	simulate := func(seed uint64, isolated bool) *simulation {
		w.isolated = isolated
		r := newSimulation(seed, false, w)
		r.withdrawTargets(0.4, 5*time.Second, 9*time.Second)
		r.run(30*time.Second, 0.55)
		return r
	}
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			informed, isolated := simulate(seed, false), simulate(seed, true)
			t.Logf("load per slot p90 %.2f p99 %.2f, isolated p90 %.2f p99 %.2f, worst shift %.3f",
				informed.loadPercentile(0.9), informed.loadPercentile(0.99), isolated.loadPercentile(0.9),
				isolated.loadPercentile(0.99), informed.worstShift())
			is.True(informed.worstShift() < 0.15)
			for _, k := range w.kinds {
				a, b := informed.tallies[k.name], isolated.tallies[k.name]
				t.Logf("%s: on time %.3f, isolated %.3f; refused %.3f, isolated %.3f", k.name,
					a.fraction(a.onTime), b.fraction(b.onTime), a.fraction(a.refused), b.fraction(b.refused))
				is.True(a.fraction(a.onTime) > 1.08*b.fraction(b.onTime))
				is.True(a.fraction(a.refused) < b.fraction(b.refused))
			}
		})
	}
}

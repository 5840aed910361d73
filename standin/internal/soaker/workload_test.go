package soaker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against runs that are all alike: grace periods are short, medium and long, some limits are longer than half of the
// grace period and some longer than all of it, and changes both shorten and lengthen them.
func TestWorkloadsDiffer(t *testing.T) {
	is := is.New(t)
	var short, long, half, whole, shortened, lengthened int
	count := func(n *int, counts bool) {
		if counts {
			*n++
		}
	}
	const seeds = 200
	for seed := range uint64(seeds) {
		w := drawWorkload(seed, 0)
		is.True(w.grace >= minGrace && w.grace <= maxGrace)
		count(&short, w.grace <= shortGrace)
		count(&long, w.grace >= mediumGrace)
		for i, limit := range w.limits {
			count(&half, limit > w.grace/2)
			count(&whole, limit > w.grace)
			count(&shortened, w.limit(i, limitVersions) < limit)
			count(&lengthened, w.limit(i, limitVersions) > limit)
		}
	}
	for _, n := range []int{short, long, half, whole, shortened, lengthened} {
		is.True(n > seeds/10)
	}
}

// Guards against requests that all end long before their limit, or whose bodies all arrive at once.
func TestSomeRequestsTakeAlmostTheirLimit(t *testing.T) {
	is := is.New(t)
	w := drawWorkload(1, 0)
	random := rand.New(rand.NewPCG(1, 1))
	parts := 0
	for range 100 {
		u := w.upload(random)
		is.True(u.Size > 0 && u.Deadline > 0 && u.Pause < maxGrace)
		if u.Parts > 1 && u.Pause > 0 {
			parts++
		}
	}
	is.True(parts > 10)
}

// Guards against a run that does not follow its seed, and against a fixed grace period that changes what else is drawn.
func TestWorkloadsFollowTheirSeeds(t *testing.T) {
	is := is.New(t)
	is.Equal(drawWorkload(3, 0), drawWorkload(3, 0))
	is.Equal(drawWorkload(3, 0).plan(40), drawWorkload(3, 0).plan(40))
	fixed := drawWorkload(3, 6*time.Second)
	is.Equal(fixed.grace, 6*time.Second)
	is.Equal(fixed.paced(pipelineHabits[4].Habit), pipelineHabits[4].Habit)
}

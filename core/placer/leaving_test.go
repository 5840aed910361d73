package placer

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// recordLeaving has an instance receive an answer that says that its target leaves.
func (r *simulation) recordLeaving(e *instance, target *Target) {
	if !e.placer.RecordLeaving(r.now, target) || !r.world.leavesTold {
		return
	}
	r.after(publishDelay, func() {
		for _, other := range r.entries {
			if listed, ok := other.placer.byName[target.Name]; ok {
				other.placer.RecordLeaving(r.now, listed)
			}
		}
	})
}

// startLeaves has a third of the targets say in all answers that they leave, and removes them from the control state three
// seconds later.
func (r *simulation) startLeaves(at time.Duration) {
	kept := slices.DeleteFunc(slices.Clone(r.specs), func(s Spec) bool {
		if float64(hashWeight("leaves", s.Name)) > 0.33*math.MaxUint64 {
			return false
		}
		r.after(at, func() { r.targets[s.Name].leaving = true })
		return true
	})
	r.after(at+3*time.Second, func() { r.specs = kept; r.updateTargets(r.now) })
}

// The load that decides who learns from an answer that a target leaves: many instances, which rarely have a request for a
// target themselves, ask each other where objects are warm. An instance that does not know names targets that the others
// do not use any more.
func TestWaysToLearnThatTargetsLeaveCompared(t *testing.T) {
	for name, w := range needWorlds() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			onTime := map[bool]float64{}
			for _, told := range []bool{false, true} {
				w.leavesTold = told
				r := newSimulation(1, false, w)
				r.startLeaves(6 * time.Second)
				r.run(20*time.Second, 0.3)
				var sum tally
				for _, k := range w.kinds {
					sum.offered += r.tallies[k.name].offered
					sum.onTime += r.tallies[k.name].onTime
					sum.refused += r.tallies[k.name].refused
				}
				onTime[told] = sum.fraction(sum.onTime)
				t.Logf("told %v: on time %.3f, refused %.3f", told, onTime[told], sum.fraction(sum.refused))
			}
			is.True(onTime[true] > onTime[false]-0.01)
		})
	}
}

// Guards against a target that gets requests after it has said in an answer that it leaves, by any way, also after it was
// out of the control state for a moment; and against one that has started again and gets none.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"), spec("b"))
	d, _ := p.Offer(start, hostTicket(start))
	is.Equal(d.Target.Name, "a")
	is.True(p.RecordLeaving(start, d.Target))
	is.True(!p.RecordLeaving(start, d.Target))
	is.Equal(p.Withhold(start, d.Target), "leaving")
	p.Done(start, d.Target, Outcome{Withheld: true})
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Minute / 2)
		one := hostTicket(now)
		if i%2 == 0 {
			one.Host = ""
		}
		is.Equal(sentTo(p, now, one), "b")
	}
	is.True(!p.Eligible(start, "a", nil)) // its objects get other hosts
	p.Update(start, []Spec{spec("b")}, 1)
	p.Update(start.Add(time.Minute), []Spec{spec("a"), spec("b")}, 1)
	is.True(!p.byName["a"].usable(start.Add(time.Hour)))
	again := spec("a")
	again.Incarnation++
	p.Update(start, []Spec{again, spec("b")}, 1)
	is.True(p.byName["a"].usable(start))
}

// Guards against an answer that was under way when its target started again and makes the new start leave.
func TestAnswersOfAnEarlierStartDoNotMakeATargetLeave(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"))
	before := p.byName["a"]
	again := spec("a")
	again.Incarnation++
	p.Update(start, []Spec{again}, 1)
	is.True(!p.RecordLeaving(start, before))
	is.True(p.byName["a"].usable(start))
}

// Guards against requests that wait, or are told a time to come back, where all targets leave.
func TestRequestsAreRefusedAtOnceWhileAllTargetsLeave(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"))
	p.byName["a"].running = 20
	_, decided := p.Offer(start, ticket(0))
	is.True(!decided)
	p.RecordLeaving(start, p.byName["a"])
	is.Equal(len(p.Tick(start)), 1)
	d, decided := p.Offer(start, ticket(0))
	is.True(decided && d.Target == nil)
	is.True(d.Retry.Before(start.Add(3 * time.Second)))
}

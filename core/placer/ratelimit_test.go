package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/messenger"
)

// evenParts divides a limit among all instances, singleHolder gives it to one. They are the ways that holders is
// compared with.
type (
	evenParts    struct{}
	singleHolder struct{}
)

func (evenParts) part(rate float64, _, total int) float64 { return rate / float64(total) }

func (singleHolder) part(rate float64, position, _ int) float64 {
	if position != 0 {
		return 0
	}
	return max(rate, probeRate)
}

// limitWindow is the time in which a target may get limitExcess times what its limit allows, and limitSlack more.
const (
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// demand is what a simulated set of instances sends to one target with a limit.
type demand struct {
	rate      float64
	instances int
	// perInstance is how many requests per second each instance would send there.
	perInstance float64
	// strangers is how many instances do not know the others yet and take the first position.
	strangers int
}

// simulate returns the most requests that arrive in a window, and those that arrive per second.
func (d demand) simulate(way divider) (most int, mean float64) {
	const step, length = 10 * time.Millisecond, 2 * time.Minute
	random := rand.New(rand.NewPCG(1, 2))
	instances := make([]allowance, d.instances)
	for i := range instances {
		position := i
		if i >= d.instances-d.strangers {
			position = 0
		}
		instances[i].set(start, RateLimit{Named: true, Rate: d.rate}, way.part(d.rate, position, d.instances), true)
	}
	var sends []time.Time
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		for i := range instances {
			if random.Float64() < d.perInstance*step.Seconds() && instances[i].allows(now) {
				instances[i].spend(now)
				sends = append(sends, now)
			}
		}
	}
	first := 0
	for i, at := range sends {
		for !sends[first].After(at.Add(-limitWindow)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(len(sends)) / length.Seconds()
}

func (d demand) allowed() float64 {
	return limitExcess*max(d.rate, probeRate)*limitWindow.Seconds() + limitSlack
}

// Guards against a target in need that gets more from all instances together than its limit allows, also while a few
// instances do not know the others yet.
func TestPartsOfALimitAddUpToIt(t *testing.T) {
	for _, instances := range []int{1, 3, 12, 84, 300} {
		for _, rate := range []float64{0, 0.4, 1, 1.6, 3, 20} {
			t.Run(fmt.Sprintf("%d instances, %g a second", instances, rate), func(t *testing.T) {
				is := is.New(t)
				d := demand{rate: rate, instances: instances, perInstance: 10}
				most, _ := d.simulate(holders{})
				is.True(float64(most) <= d.rate*limitWindow.Seconds()+limitSlack) // without the excess that is tolerated
				d.strangers = min(1, instances-1)
				most, _ = d.simulate(holders{})
				is.True(float64(most) <= d.allowed())
			})
		}
	}
}

// The load that decides between the ways to divide a limit: many instances, each with few requests for the target. With
// even parts nobody may send for long, and then all at once; one holder leaves most of a larger limit unused.
func TestDividersOfALimitCompared(t *testing.T) {
	is := is.New(t)
	small := demand{rate: 1, instances: 84, perInstance: 10}
	most, _ := small.simulate(evenParts{})
	is.True(float64(most) > small.allowed())
	large := demand{rate: 20, instances: 84, perInstance: 2}
	_, single := large.simulate(singleHolder{})
	_, several := large.simulate(holders{})
	t.Logf("20 a second, 2 a second at each of 84 instances: one holder %.1f, several %.1f a second", single, several)
	is.True(single < 0.15*large.rate)
	is.True(several > 0.5*large.rate)
}

func limitedPlacer(limit float64, position, total int) *Placer {
	p := newPlacer(Spec{Name: "a", Incarnation: 1, Region: "r", Slots: 8, OwnSlots: 8}, spec("b"))
	p.Position = func(string, string) (int, int) { return position, total }
	p.RecordLimit(start, start, p.byName["a"], &messenger.Limit{PerSecond: limit})
	return p
}

// Guards against a limit that no instance ever learns to have ended: its target's objects have gone elsewhere, so that
// no request would be sent there.
func TestEndOfALimitIsLearned(t *testing.T) {
	is := is.New(t)
	p := limitedPlacer(1, 0, 12)
	sent := time.Time{}
	for now := start; sent.IsZero() && now.Before(start.Add(4*time.Second)); now = now.Add(50 * time.Millisecond) {
		one := ticket(0)
		one.Host, one.SoftDeadline, one.Deadline = "b", now.Add(time.Second), now.Add(2*time.Second)
		if d, decided := p.Offer(now, one); decided && d.Target != nil {
			if d.Target.Name == "a" {
				sent = now
			}
			p.Done(now.Add(time.Millisecond), d.Target, Outcome{})
		}
	}
	is.True(!sent.IsZero())
	is.True(p.byName["a"].allowance.Named)
	limit, changed := p.RecordLimit(sent.Add(time.Second), sent, p.byName["a"], nil)
	is.True(changed && !limit.Named)
	is.Equal(limit.Version, uint64(2))
	is.True(p.byName["a"].usable(sent.Add(time.Second)))
}

// Guards against a limit that is taken for ended when it has just begun, because of an answer that was under way.
func TestAnswersUnderWayDoNotEndALimit(t *testing.T) {
	is := is.New(t)
	p := limitedPlacer(1, 0, 12)
	_, changed := p.RecordLimit(start.Add(time.Second), start.Add(-time.Second), p.byName["a"], nil)
	is.True(!changed)
	is.True(p.byName["a"].allowance.Named)
}

// Guards against requests that wait at an instance which may not send to any target for as long as a limit holds.
func TestRequestsWithoutRoomUnderLimitsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"))
	p.Position = func(string, string) (int, int) { return 5, 12 }
	p.RecordLimit(start, start, p.byName["a"], &messenger.Limit{PerSecond: 1})
	d, decided := p.Offer(start, ticket(0))
	is.True(decided && d.Target == nil)
	is.Equal(d.Reason, "limited")
	is.True(d.Retry.After(start))
}

// Guards against instances that keep different limits of a target for good.
func TestLimitsConverge(t *testing.T) {
	is := is.New(t)
	all := []RateLimit{{true, 1, 1, 3}, {true, 2, 1, 3}, {false, 0, 1, 3}, {true, 9, 1, 2}, {false, 0, 1, 1}}
	for range 20 {
		p := newPlacer(spec("a"))
		for _, i := range rand.Perm(len(all)) {
			s := spec("a")
			s.Limit = all[i]
			p.Update(start, []Spec{s}, 1)
		}
		is.Equal(p.byName["a"].allowance.RateLimit, all[0])
	}
}

// Guards against objects that wait for a target which can take only a few requests.
func TestObjectsLeaveATargetWithASmallLimit(t *testing.T) {
	is := is.New(t)
	p := limitedPlacer(1, 0, 12)
	is.True(!p.Eligible(start, "a", nil))
	p = limitedPlacer(1000, 0, 12)
	is.True(p.Eligible(start, "a", nil))
}

// Guards against a target that stays empty after its limit has ended, because all objects have other targets.
func TestObjectsReturnAfterTheEndOfALimit(t *testing.T) {
	is := is.New(t)
	specs := []Spec{spec("a"), spec("b")}
	p := newPlacer(specs...)
	p.Position = func(string, string) (int, int) { return 0, 1 }
	p.SetOwnership(func(uint64) bool { return true }, 0, 1)
	p.RecordLimit(start, start, p.byName["a"], &messenger.Limit{PerSecond: 0.5})
	for i := range 40 {
		place := p.Assign(start, AssignRequest{Object: fmt.Sprint("o", i), ColdTime: time.Millisecond})
		is.Equal(place.Target, "b")
	}
	now := start.Add(10 * time.Second)
	_, changed := p.RecordLimit(now, now.Add(-time.Second), p.byName["a"], nil)
	is.True(changed)
	moved := 0
	for range 100 {
		now = now.Add(balanceInterval)
		for _, m := range p.Balance(now) {
			is.Equal(m.Target, "a")
			is.Equal(m.Reason, "joined")
			moved++
		}
	}
	is.True(moved >= 10)
}

package placer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const coldRun = 900 * time.Millisecond

// newAssignRequest returns a request for an object of the route "view".
func newAssignRequest(object string) AssignRequest {
	return AssignRequest{Object: object, Route: "view", ColdTime: coldRun}
}

// threeRegionSpecs are fourteen targets in three regions; the region "few" has two of them and a third of the callers.
func threeRegionSpecs() []Spec {
	var out []Spec
	for region, n := range map[string]int{"few": 2, "many": 6, "most": 6} {
		for i := range n {
			out = append(out, Spec{
				Name: fmt.Sprintf("%s-%d", region, i), Incarnation: 1, Region: region, Zone: region, Slots: 9,
				OwnSlots: 1,
			})
		}
	}
	return out
}

// newOwner returns a placer of an instance that owns all objects; its position is among the total number of owners.
func newOwner(region string, specs []Spec, position, total int) *Placer {
	p := &Placer{Region: region, Zone: region, InterRegionRTT: 24 * time.Millisecond}
	p.Update(start.Add(-time.Minute), specs, total)
	p.SetOwnership(func(uint64) bool { return true }, position, total)
	return p
}

// assignObjects requests assignments of objects one after the other and counts them by target.
func assignObjects(now time.Time, p *Placer, prefix string, n int) map[string]int {
	counts := map[string]int{}
	for i := range n {
		counts[p.Assign(now, newAssignRequest(fmt.Sprint(prefix, i))).Target]++
	}
	return counts
}

// Guards against a second request that runs cold at the same time as the first run of an object that no target has
// warm: it would take three times its slot time and end no earlier.
func TestSecondRequestWaitsForFirstRun(t *testing.T) {
	is := is.New(t)
	p := newOwner("many", threeRegionSpecs(), 0, 1)
	first := p.Assign(start, newAssignRequest("a"))
	is.True(first.Target != "" && first.WarmAt.IsZero())
	second := p.Assign(start.Add(100*time.Millisecond), newAssignRequest("a"))
	is.Equal(second.Target, first.Target)
	is.Equal(second.WarmAt, start.Add(coldRun))
	k := ticket(0)
	k.Key, k.Host, k.WarmAt = "a", second.Target, second.WarmAt
	k.ColdTime, k.SoftDeadline, k.Deadline = coldRun, start.Add(600*time.Millisecond), start.Add(4*time.Second)
	_, decided := p.Offer(start.Add(100*time.Millisecond), k)
	is.True(!decided)
	is.Equal(len(p.Tick(start.Add(coldRun-time.Millisecond))), 0)
	placed := p.Tick(start.Add(coldRun))
	is.Equal(len(placed), 1)
	is.Equal(placed[0].Decision.Target.Name, first.Target)
}

// Guards against a request that waits for the object's first run although that ends later than the request may wait:
// the request is refused at once, with a time to retry.
func TestRequestThatCannotWaitForFirstRunIsRefused(t *testing.T) {
	is := is.New(t)
	p := newOwner("many", threeRegionSpecs(), 0, 1)
	k := ticket(0)
	k.Key, k.Host, k.WarmAt = "a", "many-0", start.Add(coldRun)
	k.ColdTime, k.SoftDeadline, k.Deadline = coldRun, start.Add(400*time.Millisecond), start.Add(time.Second)
	decision, decided := p.Offer(start, k)
	is.True(decided && decision.Target == nil)
	is.Equal(decision.Retry, start.Add(coldRun))
}

// Guards against targets with three times as many objects as others, as when objects are assigned at random: callers
// wait in queues there while other targets idle. Assigned by count, objects are spread evenly, also the objects of all
// instances taken together.
func TestObjectsAreSpreadEvenly(t *testing.T) {
	specs := threeRegionSpecs()
	for region, want := range map[string]float64{"most": 44.0 / 6, "few": 0.43 * 44 / 2} {
		t.Run(region, func(t *testing.T) {
			is := is.New(t)
			all := map[string]int{}
			for i := range 4 {
				for name, n := range assignObjects(start, newOwner(region, specs, i, 4), fmt.Sprint(i, "/"), 11) {
					all[name] += n
				}
			}
			for _, s := range specs {
				if s.Region == region {
					is.True(math.Abs(float64(all[s.Name])-want) <= 2)
				}
			}
		})
	}
}

// Guards against moves of objects whose own target is still there when another target is lost: they would run cold.
func TestOnlyObjectsOfLostTargetMove(t *testing.T) {
	is := is.New(t)
	specs := threeRegionSpecs()
	p := newOwner("many", specs, 0, 1)
	before := map[string]string{}
	for i := range 60 {
		object := fmt.Sprint(i)
		before[object] = p.Assign(start, newAssignRequest(object)).Target
	}
	later := start.Add(10 * time.Second)
	lost := specs[0].Name
	p.Update(later, specs[1:], 1)
	for object, target := range before {
		now := p.Assign(later, newAssignRequest(object))
		is.True(now.Target != lost)
		is.True(target == lost || now.Target == target)
	}
}

// Guards against cold runs of all objects of a lost owner: the next owner has no record of them, and must use the
// requester's hint, the target where the object was last.
func TestNextOwnerUsesHints(t *testing.T) {
	is := is.New(t)
	p := newOwner("many", threeRegionSpecs(), 1, 2)
	request := newAssignRequest("a")
	request.Hint = "most-3"
	found := p.Assign(start, request)
	is.Equal(found.Target, "most-3")
	is.True(found.WarmAt.IsZero())
}

// Guards against cold runs of all objects on a few targets after all instances restart at once: an object's target has
// kept it warm and announces itself within seconds, but other targets do so earlier.
func TestObjectsWaitForTheirTargetsAfterRestart(t *testing.T) {
	is := is.New(t)
	specs := threeRegionSpecs()
	p := &Placer{Region: "many", Zone: "many"}
	p.Update(start, specs[:3], 1)
	request := newAssignRequest("a")
	request.Hint = specs[9].Name
	now := start.Add(300 * time.Millisecond)
	found := p.Assign(now, request)
	is.Equal(found.Target, request.Hint)
	k := ticket(0)
	k.Key, k.Host = "a", found.Target
	_, decided := p.Offer(now, k)
	is.True(!decided)
	p.Update(start.Add(600*time.Millisecond), specs, 1)
	placed := p.Tick(start.Add(600 * time.Millisecond))
	is.Equal(len(placed), 1)
	is.Equal(placed[0].Decision.Target.Name, request.Hint)
	t.Run("but not indefinitely", func(t *testing.T) {
		is := is.New(t)
		request := newAssignRequest("b")
		request.Hint = "gone"
		found := p.Assign(start.Add(announcePeriod), request)
		is.True(found.Target != "" && found.Target != "gone")
	})
}

// Guards against a new target that gets only new objects and idles beside full ones, because every object has a target:
// it must get about its share, a few objects at a time.
func TestNewTargetGetsItsShareOfObjects(t *testing.T) {
	is := is.New(t)
	specs := threeRegionSpecs()
	p := newOwner("most", specs, 0, 1)
	assignObjects(start, p, "", 132)
	joined := Spec{Name: "most-9", Incarnation: 1, Region: "most", Zone: "most", Slots: 9, OwnSlots: 1}
	now := start.Add(10 * time.Second)
	p.Update(now, append(specs, joined), 1)
	is.True(assignObjects(now, p, "", 132)[joined.Name] <= 1)
	for range 60 {
		now = now.Add(balanceInterval)
		p.Balance(now)
	}
	n := assignObjects(now, p, "", 132)[joined.Name]
	is.True(n >= 8 && n <= 28) // 132 objects, seven targets
}

// Guards against objects that stay in other regions after all targets of their region were withdrawn and have returned:
// all requests of the region would cross the links permanently, beside idle targets. They must return, but no faster
// than the links are planned for.
func TestObjectsReturnToRecoveredRegion(t *testing.T) {
	is := is.New(t)
	specs := threeRegionSpecs()
	p := newOwner("most", specs, 0, 1)
	const objects = 100
	atHome := func(now time.Time) int {
		n := 0
		for name, count := range assignObjects(now, p, "", objects) {
			if p.byName[name].Region == "most" {
				n += count
			}
		}
		return n
	}
	is.Equal(atHome(start), objects)
	now := start.Add(10 * time.Second)
	p.Update(now, slices.DeleteFunc(slices.Clone(specs), func(s Spec) bool { return s.Region == "most" }), 1)
	is.Equal(atHome(now), 0)
	now = now.Add(10 * time.Second)
	p.Update(now, specs, 1)
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		p.Balance(now)
	}
	n := atHome(now)
	is.True(n >= 3 && n <= 5) // one fiftieth per second, for two seconds
	for range 8000 {
		now = now.Add(10 * time.Millisecond)
		p.Balance(now)
	}
	is.True(atHome(now) > 95)
}

// Guards against a target that stays empty after a cold period. Its objects were assigned elsewhere, and since the
// target was there all the time, it does not count as joined; without its share of objects it would idle beside full
// targets.
func TestTargetGetsItsShareAfterColdPeriod(t *testing.T) {
	is := is.New(t)
	specs := threeRegionSpecs()
	p := newOwner("most", specs, 0, 1)
	const objects = 60
	assignObjects(start, p, "", objects)
	lost := slices.IndexFunc(specs, func(s Spec) bool { return s.Region == "most" })
	now := start.Add(10 * time.Second)
	specs[lost].ColdUntil, specs[lost].Rate = now.Add(3*time.Second), 5
	p.Update(now, specs, 1)
	is.Equal(assignObjects(now, p, "", objects)[specs[lost].Name], 0)
	now = now.Add(3 * time.Second)
	for range 40 {
		now = now.Add(balanceInterval)
		p.Balance(now)
	}
	is.True(assignObjects(now, p, "", objects)[specs[lost].Name] >= 4) // 60 objects, six targets
}

// Guards against an object's first run that is queued for a slot though it takes nearly all the time that its route
// allows: it would be cut off at the deadline, with the outcome of a booking unknown to the caller. Refused, the caller
// retries with a new deadline.
func TestFirstRunThatWouldExceedDeadlineIsNotStarted(t *testing.T) {
	is := is.New(t)
	p := newOwner("most", []Spec{{Name: "a", Region: "most", Slots: 1, OwnSlots: 1}}, 0, 1)
	busy, _ := p.Offer(start, &Ticket{Host: "a", Deadline: start.Add(time.Minute)})
	is.True(busy.Target != nil)
	k := &Ticket{
		Host: "a", FirstRun: true, WarmTime: 300 * time.Millisecond, ColdTime: 1100 * time.Millisecond,
		SoftDeadline: start.Add(800 * time.Millisecond), Deadline: start.Add(1200 * time.Millisecond),
		Decided: make(chan Decision, 1),
	}
	decision, decided := p.Offer(start, k)
	if !decided {
		placed := p.Done(start.Add(150*time.Millisecond), busy.Target, Outcome{ResponseTime: 150 * time.Millisecond})
		is.Equal(len(placed), 1)
		decision = placed[0].Decision
	}
	is.True(decision.Target == nil)
	is.True(decision.Retry.After(start))
}

// Guards against requests that wait for a target that left in the first second after a start: it was there and does not
// announce itself again, so they would be refused though another target has room.
func TestRequestsDoNotWaitForDepartedTarget(t *testing.T) {
	is := is.New(t)
	p := &Placer{Region: "r", Zone: "z"}
	p.Update(start, []Spec{spec("a"), spec("b")}, 1)
	now := start.Add(500 * time.Millisecond)
	p.Update(now, []Spec{spec("b")}, 1)
	k := ticket(0)
	k.Key, k.Host = "object", "a"
	decision, decided := p.Offer(now, k)
	is.True(decided && decision.Target != nil)
	request := newAssignRequest("object")
	request.Hint = "a"
	is.Equal(p.Assign(now, request).Target, "b")
}

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

func newAssignRequest(object string) AssignRequest {
	return AssignRequest{Object: object, Route: "view", ColdTime: coldRun}
}

// threeRegionSpecs are fourteen targets in three regions, two of them where a third of the callers are.
func threeRegionSpecs() []Spec {
	var out []Spec
	for region, n := range map[string]int{"few": 2, "many": 6, "most": 6} {
		for i := range n {
			out = append(out, Spec{
				Name: fmt.Sprintf("%s-%d", region, i), Incarnation: 1, Region: region, Zone: region, Slots: 9, OwnSlots: 1,
			})
		}
	}
	return out
}

func newOwner(region string, specs []Spec, position, of int) *Placer {
	p := &Placer{Region: region, Zone: region, InterRegionRTT: 24 * time.Millisecond}
	p.Update(start.Add(-time.Minute), specs, of)
	p.SetOwnership(func(uint64) bool { return true }, position, of)
	return p
}

// assignObjects asks for objects one after the other and counts them by target.
func assignObjects(now time.Time, p *Placer, prefix string, n int) map[string]int {
	counts := map[string]int{}
	for i := range n {
		counts[p.Assign(now, newAssignRequest(fmt.Sprint(prefix, i))).Target]++
	}
	return counts
}

// Two callers ask for an object that no target has warm, one a moment after the other. Sent at once, the second request
// would run cold beside the first, take three times its slot time and be no earlier.
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

// The object's first run ends later than the request can wait. It is refused at once and told when to come back, for its
// time would be over before it got its turn.
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

// Objects fall to targets by chance, so that one has three times as many as another: its callers wait in its queue while
// other targets idle. Placed by count they come out even, over the objects of all instances together too.
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

// A target dies. Its objects go to others at once, and all others stay where they are warm.
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

// The instance that answered for an object is gone, and the next one knows nothing of it. Whoever asks tells where the
// object was last; placed anew, all objects of the lost instance would run cold.
func TestNextOwnerUsesHints(t *testing.T) {
	is := is.New(t)
	p := newOwner("many", threeRegionSpecs(), 1, 2)
	request := newAssignRequest("a")
	request.Hint = "most-3"
	found := p.Assign(start, request)
	is.Equal(found.Target, "most-3")
	is.True(found.WarmAt.IsZero())
}

// All instances restart at once. An object's target has kept it warm and announces itself within seconds, but not first.
// Placed at those that came first, all objects would run cold on a few of the targets.
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
	t.Run("but not for ever", func(t *testing.T) {
		is := is.New(t)
		request := newAssignRequest("b")
		request.Hint = "gone"
		found := p.Assign(start.Add(announcePeriod), request)
		is.True(found.Target != "" && found.Target != "gone")
	})
}

// A target is added while every object has its place. Left to new objects alone, it would idle beside full ones; it gets
// about its part, a few objects at a time.
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

// All targets of a region are emptied for some work and taken back. Their objects have found places in other regions; left
// there, all requests of the region would cross the links for good, beside idle targets. They come home, but no faster than
// links are planned for.
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
	is.True(n >= 3 && n <= 5) // a fiftieth a second, for two seconds
	for range 8000 {
		now = now.Add(10 * time.Millisecond)
		p.Balance(now)
	}
	is.True(atHome(now) > 95)
}

// A target is cold for some seconds and its objects have found other places. It was there all the time, so that nothing tells
// it from the others when it is warm again; left out, it would idle beside full ones for good.
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

// A request is to make its object's first run, which takes nearly all the time that its route allows. Held back for a slot,
// it would be cut off in the middle, with its caller in doubt about a booking; told to come back it has its time anew.
func TestFirstRunThatWouldExceedDeadlineIsNotStarted(t *testing.T) {
	is := is.New(t)
	p := newOwner("most", []Spec{{Name: "a", Region: "most", Slots: 1, OwnSlots: 1}}, 0, 1)
	busy, _ := p.Offer(start, &Ticket{Host: "a", Deadline: start.Add(time.Minute)})
	is.True(busy.Target != nil)
	k := &Ticket{
		Host: "a", FirstRun: true, WarmTime: 300 * time.Millisecond, ColdTime: 1100 * time.Millisecond, SoftDeadline: start.Add(800 * time.Millisecond),
		Deadline: start.Add(1200 * time.Millisecond), Decided: make(chan Decision, 1),
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

// A target leaves in the first second after a start. It was there and is not coming back; a request that waited for it to
// announce itself would be refused, though another target has room.
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

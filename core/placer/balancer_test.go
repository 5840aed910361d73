package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/gauger"
)

// overfillOne returns instances that each own a number of objects, all of them at one target, and the name of that
// target.
func overfillOne(instances, objects int) (list []*Placer, overloaded string) {
	specs := threeRegionSpecs()
	overloaded = "most-0"
	for i := range instances {
		p := newOwner("most", specs, i, instances)
		for n := range objects {
			request := newAssignRequest(fmt.Sprint(i, "/", n))
			request.Hint = overloaded
			p.Assign(start, request)
		}
		list = append(list, p)
	}
	return list, overloaded
}

// balanceAll lets all instances balance for a time, while only the overloaded target reports a load, always the same.
// It counts the moves, and those of them that cross regions.
func balanceAll(list []*Placer, overloaded string, load float64, span time.Duration) (moved, crossed int) {
	now := start.Add(minStay)
	for end := now.Add(span); now.Before(end); now = now.Add(balanceInterval) {
		for _, p := range list {
			p.ObserveLoads(now, []gauger.Reading{{Target: gauger.Key(overloaded), PerSlot: load}})
			for _, m := range p.Balance(now) {
				moved++
				if p.byName[m.Target].Region != "most" {
					crossed++
				}
			}
		}
	}
	return moved, crossed
}

// Guards against requests that wait and are refused for the rest of the day at a target with too many objects, beside
// idle targets.
func TestOverfullTargetShedsObjects(t *testing.T) {
	for _, instances := range []int{1, 10} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			list, overloaded := overfillOne(instances, 60/instances)
			moved, crossed := balanceAll(list, overloaded, 2, shedPeriod)
			t.Log("moved", moved)
			is.True(moved >= 12 && moved <= 45) // 60 objects, half of them excess
			is.Equal(crossed, 0)
		})
	}
}

// Guards against objects that run cold once more without benefit: where the target has room, where it holds a single
// object, and where all targets are equally busy.
func TestObjectsStayWhereMovingDoesNotHelp(t *testing.T) {
	is := is.New(t)
	list, overloaded := overfillOne(1, 30)
	moved, _ := balanceAll(list, overloaded, 0.9, 10*time.Second)
	is.Equal(moved, 0)
	t.Run("single", func(t *testing.T) {
		list, overloaded := overfillOne(1, 1)
		moved, _ := balanceAll(list, overloaded, 3, 10*time.Second)
		is.New(t).Equal(moved, 0)
	})
	t.Run("all busy", func(t *testing.T) {
		list, _ := overfillOne(1, 30)
		p := list[0]
		for now := start.Add(minStay); now.Before(start.Add(10 * time.Second)); now = now.Add(balanceInterval) {
			for _, s := range threeRegionSpecs() {
				p.ObserveLoads(now, []gauger.Reading{{Target: gauger.Key(s.Name), PerSlot: 2}})
			}
			is.New(t).Equal(len(p.Balance(now)), 0)
		}
	})
}

// Guards against a request to the owner for every lookup, and against instances that keep an assignment that another
// instance has changed.
func TestReceivedAssignmentsAreUsed(t *testing.T) {
	is := is.New(t)
	p := newOwner("most", threeRegionSpecs(), 0, 2)
	p.SetOwnership(func(uint64) bool { return false }, 0, 2)
	object := ObjectHash("a")
	_, found := p.Lookup(start, object, nil)
	is.True(!found)
	p.RecordAssignment(start, object, "most-1", "view", 2)
	p.RecordAssignment(start, object, "most-2", "view", 1) // an outdated version
	assignment, found := p.Lookup(start, object, nil)
	is.True(found)
	is.Equal(assignment.Target, "most-1")
	_, found = p.Lookup(start, object, []string{"few"})
	is.True(!found)
	p.RecordAssignment(start, object, "gone", "view", 3)
	_, found = p.Lookup(start, object, nil)
	is.True(!found)
	t.Run("by the next owner", func(t *testing.T) {
		is := is.New(t)
		p.RecordAssignment(start, object, "most-3", "view", 7)
		p.SetOwnership(func(uint64) bool { return true }, 0, 1)
		is.Equal(p.Assign(start, newAssignRequest("a")).Target, "most-3")
		is.Equal(len(p.assigner.owned), 1)
	})
	t.Run("and counted", func(t *testing.T) {
		is := is.New(t)
		is.Equal(p.assigner.objectCounts["most-3"][allRoutes], 1)
		is.Equal(len(p.assigner.objectCounts), 1)
	})
}

// Guards against hundreds of objects that lose their target at once and are all assigned to the same few: in the half
// second that updates take to arrive, no instance sees what the others choose.
func TestConcurrentAssignmentsSpreadOverTargets(t *testing.T) {
	is := is.New(t)
	var specs []Spec
	for i := range 60 {
		specs = append(specs, Spec{
			Name: fmt.Sprintf("t%02d", i), Incarnation: 1, Region: "r", Zone: "z", Slots: 3, OwnSlots: 1,
		})
	}
	counts := map[string]int{}
	for i := range 60 {
		p := newOwner("r", specs, i, 60)
		for n := range 180 { // all targets but four have three or four objects
			p.RecordAssignment(start, uint64(n), specs[4+n%56].Name, "view", 1)
		}
		for n := range 2 {
			counts[p.Assign(start, newAssignRequest(fmt.Sprint(i, "/", n))).Target]++
		}
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	t.Log("most", most)
	is.True(most <= 20) // 30 each if all instances chose the four emptiest
}

// Guards against a crash of an entry instance after a plan removes the regions that a route's objects are in, and then
// a target joins. Such objects are moved by the next request for them.
func TestObjectsOutsideAllowedRegionsAreNotBalanced(t *testing.T) {
	is := is.New(t)
	specs := threeRegionSpecs()
	p := newOwner("most", specs, 0, 1)
	request := newAssignRequest("a")
	request.Hint, request.Regions = "few-0", []string{"few"}
	p.Assign(start, request)
	p.RecordAssignment(start, ObjectHash("a"), "most-1", "view", 9)
	p.assigner.objects[ObjectHash("a")].lastRequest = request
	now := start.Add(10 * time.Second)
	p.Update(now, append(specs, Spec{Name: "most-9", Incarnation: 1, Region: "most", Slots: 9, OwnSlots: 1}), 1)
	is.Equal(len(p.Balance(now)), 0)
	is.Equal(p.byName[p.Assign(now, request).Target].Region, "few")
}

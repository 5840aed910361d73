package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// announceTime is in which the targets that are there announce themselves to a system that has just started.
const announceTime = 2 * time.Second

// AssignRequest is the question where a request should go, put to the instance that answers for its object.
type AssignRequest struct {
	Object string
	// Route is what the object is of; objects of one route ask for about the same work.
	Route string
	// Hint is the target where the asker last saw the object, or empty.
	Hint string
	// ColdTime is what a run of the object at a target that does not have it warm is expected to take.
	ColdTime time.Duration
	// Regions that may serve the request; empty allows all.
	Regions []string
}

// Assignment is the answer to an Ask.
type Assignment struct {
	// Target is empty if none may be used.
	Target string
	// Route is what the object is of, Version grows with each move of it.
	Route   string
	Version uint64
	// WarmAt is when the object's first run there is expected to have ended, zero if it is warm or if the asker is to
	// make that run.
	WarmAt time.Time
	// Reason is a single word for logs: known, hint, new, joined, region, crowded or awaited.
	Reason string
	// FirstRun is set for the request that makes the object's first run at the target.
	FirstRun bool
	// Changed is set when the object's place changed, or was not known to this instance.
	Changed bool
}

// assigner keeps the targets of objects: of those for which this instance answers, and, as others tell, of all that the
// region's instances use. It answers the load in which most targets run objects cold: instances that each choose by what
// they know of the targets' load disagree about an object, so it runs cold at several targets, one after the other and
// beside each other, until the slots are full of such runs. One instance that answers for an object starts it cold once;
// it knows what all have given to a target, so that targets come out even; and the others need not ask again.
type assigner struct {
	objects map[uint64]*assigned
	// counts are how many objects of each route a target has, by its name, and all of them under the empty route.
	counts map[string]map[string]int
	// owns tells which objects this instance answers for, own are those of them that are known.
	owns func(object uint64) bool
	own  map[uint64]*assigned
	// parts are the parts of the objects that go to each region, by its slots.
	parts map[string]float64
	// offset is where this instance begins among equal targets. All instances would else fill the same ones first.
	offset float64
	// of is how many instances of the region answer for objects.
	of int
	// newest is when the last target became ready for objects.
	newest time.Time
	// moveAt is when the next object may follow a joined target, crossAt when the next one may go to another region.
	moveAt  time.Time
	crossAt time.Time
	balancer
}

// assigned is one object's place.
type assigned struct {
	target string
	route  string
	// version grows with each move; of two places told of, the higher one holds.
	version  uint64
	placedAt time.Time
	warmAt   time.Time
	// ask is the last question for the object, with an empty name if there was none.
	ask AssignRequest
}

// ObjectHash is what an object is called where its name would be too long.
func ObjectHash(name string) uint64 { return xxhash.Sum64String(name) }

// SetOwnership tells which objects this instance answers for, as one of so many, the position-th of them.
func (p *Placer) SetOwnership(owns func(object uint64) bool, position, of int) {
	a := &p.assigner
	a.owns = owns
	a.offset, a.of = float64(position)/float64(max(1, of)), of
	a.own = map[uint64]*assigned{}
	for object, found := range a.objects {
		if owns(object) {
			a.own[object] = found
		}
	}
}

// Assign says where a request for an object goes for which this instance answers.
func (p *Placer) Assign(now time.Time, ask AssignRequest) Assignment {
	a := &p.assigner
	object := ObjectHash(ask.Object)
	found, ok := a.objects[object]
	if !ok || !p.Eligible(now, found.target, ask.Regions) {
		return p.assign(now, object, ask)
	}
	found.ask = ask
	return found.place(now)
}

// place is the answer to a request for an object that has its place.
func (o *assigned) place(now time.Time) Assignment {
	place := Assignment{Target: o.target, Reason: "known"}
	if now.Before(o.warmAt) {
		place.WarmAt = o.warmAt
	}
	return place
}

// Lookup is an object's place as this instance was told or decided itself, false if it has to be asked for.
func (p *Placer) Lookup(now time.Time, object uint64, regions []string) (Assignment, bool) {
	found, ok := p.assigner.objects[object]
	if !ok || !p.Eligible(now, found.target, regions) {
		return Assignment{}, false
	}
	return found.place(now), true
}

// Supersedes reports whether a place of an object holds instead of another one that was told of. All who hear of both, in
// whatever order, have to hold the same one, or they would send the object's requests to two targets for good.
func Supersedes(version uint64, target string, oldVersion uint64, oldTarget string) bool {
	if version != oldVersion {
		return version > oldVersion
	}
	return target < oldTarget
}

// RecordAssignment takes what another instance decided, or what this one did in an earlier run.
func (p *Placer) RecordAssignment(now time.Time, object uint64, target, route string, version uint64) {
	a := &p.assigner
	if old, ok := a.objects[object]; ok && !Supersedes(version, target, old.version, old.target) {
		return
	}
	a.set(object, &assigned{target: target, route: route, version: version, placedAt: now})
}

// assign gives an object a target: the one where the asker saw it, else the one that has most room.
func (p *Placer) assign(now time.Time, object uint64, ask AssignRequest) Assignment {
	a := &p.assigner
	if old, ok := a.objects[object]; ok && ask.Hint == "" {
		ask.Hint = old.target
	}
	if p.Eligible(now, ask.Hint, ask.Regions) {
		place := a.put(now, object, ask, ask.Hint, "hint")
		place.FirstRun = false
		a.objects[object].warmAt = now
		return place
	}
	if p.awaited(now, ask.Hint) {
		return Assignment{Target: ask.Hint, Reason: "awaited"}
	}
	target := p.emptiest(p.region(now, ask), now, object, ask)
	if target == nil {
		return Assignment{}
	}
	return p.give(now, object, ask, target, "new")
}

// give puts an object at a target that does not have it warm.
func (p *Placer) give(now time.Time, object uint64, ask AssignRequest, target *Target, reason string) Assignment {
	target.expect(now, p.assigner.demand)
	return p.assigner.put(now, object, ask, target.Name, reason)
}

func (a *assigner) put(now time.Time, object uint64, ask AssignRequest, target, reason string) Assignment {
	next := &assigned{target: target, route: ask.Route, version: 1, placedAt: now, warmAt: now.Add(ask.ColdTime), ask: ask}
	if old, ok := a.objects[object]; ok {
		next.version = old.version + 1
	}
	a.set(object, next)
	return Assignment{
		Target: target, Route: ask.Route, Reason: reason, Version: next.version, FirstRun: true, Changed: true,
	}
}

func (a *assigner) set(object uint64, next *assigned) {
	a.forget(object)
	if a.objects == nil || len(a.objects) >= maxObjects {
		a.objects, a.counts, a.own = map[uint64]*assigned{}, map[string]map[string]int{}, map[uint64]*assigned{}
	}
	a.objects[object] = next
	if a.owns != nil && a.owns(object) {
		a.own[object] = next
	}
	if a.counts[next.target] == nil {
		a.counts[next.target] = map[string]int{}
	}
	a.counts[next.target][next.route]++
	a.counts[next.target][allRoutes]++
}

// allRoutes stands for the objects of all routes together.
const allRoutes = ""

func (a *assigner) forget(object uint64) {
	old, ok := a.objects[object]
	if !ok {
		return
	}
	a.counts[old.target][old.route]--
	a.counts[old.target][allRoutes]--
	if a.counts[old.target][allRoutes] == 0 {
		delete(a.counts, old.target)
	}
	delete(a.objects, object)
	delete(a.own, object)
}

// keeps reports whether a target may go on being an object's.
func (p *Placer) keeps(now time.Time, target *Target, regions []string) bool {
	return p.byName[target.Name] == target && !target.down(now) && inRegions(target.Region, regions)
}

// Eligible reports whether a target may be used for an object that it has warm.
func (p *Placer) Eligible(now time.Time, target string, regions []string) bool {
	found, ok := p.byName[target]
	return ok && p.keeps(now, found, regions)
}

func inRegions(region string, regions []string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

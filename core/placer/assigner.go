package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// announcePeriod is in which the targets that are there announce themselves to a system that has just started.
const announcePeriod = 2 * time.Second

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
	objects map[uint64]*assignedObject
	// objectCounts are how many objects of each route a target has, by its name, and all of them under the empty route.
	objectCounts map[string]map[string]int
	// owns tells which objects this instance answers for, own are those of them that are known.
	owns  func(object uint64) bool
	owned map[uint64]*assignedObject
	// regionShares are the regionShares of the objects that go to each region, by its slots.
	regionShares map[string]float64
	// offset is where this instance begins among equal targets. All instances would else fill the same ones first.
	offset float64
	// ownerCount is how many instances ownerCount the region answer for objects.
	ownerCount int
	// newestReadyAt is when the last target became ready for objects.
	newestReadyAt time.Time
	// nextJoinMoveAt is when the next object may follow a joined target, crossAt when the next one may go to another region.
	nextJoinMoveAt   time.Time
	nextRegionMoveAt time.Time
	balancer
}

// assignedObject is one object's place.
type assignedObject struct {
	target string
	route  string
	// version grows with each move; of two places told of, the higher one holds.
	version  uint64
	placedAt time.Time
	warmAt   time.Time
	// lastRequest is the last question for the object, with an empty name if there was none.
	lastRequest AssignRequest
}

// ObjectHash is what an object is called where its name would be too long.
func ObjectHash(name string) uint64 { return xxhash.Sum64String(name) }

// SetOwnership tells which objects this instance answers for, as one of so many, the position-th of them.
func (p *Placer) SetOwnership(owns func(object uint64) bool, position, total int) {
	a := &p.assigner
	a.owns = owns
	a.offset, a.ownerCount = float64(position)/float64(max(1, total)), total
	a.owned = map[uint64]*assignedObject{}
	for object, assigned := range a.objects {
		if owns(object) {
			a.owned[object] = assigned
		}
	}
}

// Assign says where a request for an object goes for which this instance answers.
func (p *Placer) Assign(now time.Time, request AssignRequest) Assignment {
	a := &p.assigner
	object := ObjectHash(request.Object)
	assigned, ok := a.objects[object]
	if !ok || !p.Eligible(now, assigned.target, request.Regions) {
		return p.assign(now, object, request)
	}
	assigned.lastRequest = request
	return assigned.assignment(now)
}

// assignment is the answer to a request for an object that has its assignment.
func (o *assignedObject) assignment(now time.Time) Assignment {
	assignment := Assignment{Target: o.target, Reason: "known"}
	if now.Before(o.warmAt) {
		assignment.WarmAt = o.warmAt
	}
	return assignment
}

// Lookup is an object's place as this instance was told or decided itself, false if it has to be asked for.
func (p *Placer) Lookup(now time.Time, object uint64, regions []string) (Assignment, bool) {
	assigned, ok := p.assigner.objects[object]
	if !ok || !p.Eligible(now, assigned.target, regions) {
		return Assignment{}, false
	}
	return assigned.assignment(now), true
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
	a.store(object, &assignedObject{target: target, route: route, version: version, placedAt: now})
}

// assign gives an object a target: the one where the asker saw it, else the one that has most room.
func (p *Placer) assign(now time.Time, object uint64, request AssignRequest) Assignment {
	a := &p.assigner
	if old, ok := a.objects[object]; ok && request.Hint == "" {
		request.Hint = old.target
	}
	if p.Eligible(now, request.Hint, request.Regions) {
		assignment := a.placeAt(now, object, request, request.Hint, "hint")
		assignment.FirstRun = false
		a.objects[object].warmAt = now
		return assignment
	}
	if p.awaited(now, request.Hint) {
		return Assignment{Target: request.Hint, Reason: "awaited"}
	}
	target := p.leastLoadedTarget(p.chooseRegion(now, request), now, object, request)
	if target == nil {
		return Assignment{}
	}
	return p.assignCold(now, object, request, target, "new")
}

// assignCold puts an object at a target that does not have it warm.
func (p *Placer) assignCold(now time.Time, object uint64, request AssignRequest, target *Target, reason string) Assignment {
	target.addPending(now, p.assigner.slotsPerObject)
	return p.assigner.placeAt(now, object, request, target.Name, reason)
}

func (a *assigner) placeAt(now time.Time, object uint64, request AssignRequest, target, reason string) Assignment {
	next := &assignedObject{target: target, route: request.Route, version: 1, placedAt: now, warmAt: now.Add(request.ColdTime), lastRequest: request}
	if old, ok := a.objects[object]; ok {
		next.version = old.version + 1
	}
	a.store(object, next)
	return Assignment{
		Target: target, Route: request.Route, Reason: reason, Version: next.version, FirstRun: true, Changed: true,
	}
}

func (a *assigner) store(object uint64, next *assignedObject) {
	a.remove(object)
	if a.objects == nil || len(a.objects) >= maxObjects {
		a.objects, a.objectCounts, a.owned = map[uint64]*assignedObject{}, map[string]map[string]int{}, map[uint64]*assignedObject{}
	}
	a.objects[object] = next
	if a.owns != nil && a.owns(object) {
		a.owned[object] = next
	}
	if a.objectCounts[next.target] == nil {
		a.objectCounts[next.target] = map[string]int{}
	}
	a.objectCounts[next.target][next.route]++
	a.objectCounts[next.target][allRoutes]++
}

// allRoutes stands for the objects of all routes together.
const allRoutes = ""

func (a *assigner) remove(object uint64) {
	old, ok := a.objects[object]
	if !ok {
		return
	}
	a.objectCounts[old.target][old.route]--
	a.objectCounts[old.target][allRoutes]--
	if a.objectCounts[old.target][allRoutes] == 0 {
		delete(a.objectCounts, old.target)
	}
	delete(a.objects, object)
	delete(a.owned, object)
}

// eligible reports whether a target may go on being an object's.
func (p *Placer) eligible(now time.Time, target *Target, regions []string) bool {
	return p.byName[target.Name] == target && !target.down(now) && inRegions(target.Region, regions)
}

// Eligible reports whether a target may be used for an object that it has warm.
func (p *Placer) Eligible(now time.Time, target string, regions []string) bool {
	known, ok := p.byName[target]
	return ok && p.eligible(now, known, regions)
}

func inRegions(region string, regions []string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

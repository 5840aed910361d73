package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// announcePeriod is the time within which existing targets announce themselves to a system that has just started.
const announcePeriod = 2 * time.Second

// AssignRequest asks for the target of an object. It is sent to the instance that owns the object.
type AssignRequest struct {
	Object string
	// Route is the route that the object belongs to. Objects of one route need about the same work.
	Route string
	// Hint is the target at which the requester last saw the object, or empty.
	Hint string
	// ColdTime is the expected service time of the object at a target that does not have it warm.
	ColdTime time.Duration
	// Regions are those that may serve the request; empty allows all.
	Regions []string
}

// Assignment is the answer to an AssignRequest.
type Assignment struct {
	// Target is empty if none may be used.
	Target string
	// Route is the route that the object belongs to; Version grows with each move of the object.
	Route   string
	Version uint64
	// WarmAt is when the object's first run at the target is expected to end, zero if it is warm or if the requester is
	// to make that run.
	WarmAt time.Time
	// Reason is a single word for logs: known, hint, new, joined, region, crowded or awaited.
	Reason string
	// FirstRun is set for the request that makes the object's first run at the target.
	FirstRun bool
	// Changed is set when the object's target was assigned by this request or move; other instances have to be
	// informed.
	Changed bool
}

// assigner stores the targets of objects: of those that this instance owns, and, as received from others, of all that
// the region's instances use. It is made for a load at which most targets run objects cold: if each instance chose by
// its own view of the targets' load, instances would disagree about an object, and it would run cold at several
// targets, one after the other and at the same time, until the slots are full of such runs. With one owner an object
// runs cold once. The owner counts the objects of all instances at each target, so that targets get even numbers, and
// other instances need not ask it again for every request.
type assigner struct {
	objects map[uint64]*assignedObject
	// objectCounts holds how many objects of each route a target has: by the target's name, then by route, with the
	// count of all its objects under the empty route.
	objectCounts map[string]map[string]int
	// owns reports whether this instance owns an object; owned holds the assigned ones among those.
	owns  func(object uint64) bool
	owned map[uint64]*assignedObject
	// regionShares are the fractions of the objects that go to each region, computed from its slots.
	regionShares map[string]float64
	// offset, from 0 to 1, is where this instance starts among equal targets. Otherwise all instances would fill the
	// same ones first.
	offset float64
	// ownerCount is how many instances of the region own objects.
	ownerCount int
	// newestReadyAt is when the last target became ready for objects.
	newestReadyAt time.Time
	// nextJoinMoveAt is when the next object may move to a joined target, nextRegionMoveAt when the next one may move
	// to another region.
	nextJoinMoveAt   time.Time
	nextRegionMoveAt time.Time
	balancer
}

// assignedObject is the assignment of one object.
type assignedObject struct {
	target string
	route  string
	// version grows with each move; of two assignments received, the one with the higher version is kept.
	version  uint64
	placedAt time.Time
	warmAt   time.Time
	// lastRequest is the last request for the object; its Object is empty if there was none.
	lastRequest AssignRequest
}

// ObjectHash returns the number that identifies an object where its name would be too long.
func ObjectHash(name string) uint64 { return xxhash.Sum64String(name) }

// SetOwnership sets which objects this instance owns, and its position among the total number of instances that own
// objects.
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

// recordReady records when a target became ready for objects.
func (a *assigner) recordReady(t *Target) {
	if ready := t.readyAt(); ready.After(a.newestReadyAt) {
		a.newestReadyAt = ready
	}
}

// Assign returns the target of a request for an object that this instance owns. It assigns one if the object has none,
// or if its target can't be used.
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

// assignment answers a request for an object that has a target.
func (o *assignedObject) assignment(now time.Time) Assignment {
	assignment := Assignment{Target: o.target, Reason: "known"}
	if now.Before(o.warmAt) {
		assignment.WarmAt = o.warmAt
	}
	return assignment
}

// Lookup returns the assignment of an object as received or decided by this instance. It returns false if there is none
// that can be used, and the object's owner has to be asked.
func (p *Placer) Lookup(now time.Time, object uint64, regions []string) (Assignment, bool) {
	assigned, ok := p.assigner.objects[object]
	if !ok || !p.Eligible(now, assigned.target, regions) {
		return Assignment{}, false
	}
	return assigned.assignment(now), true
}

// Supersedes reports whether one assignment of an object takes precedence over another. All instances that receive
// both, in whatever order, have to keep the same one, or they would send the object's requests to two targets
// permanently.
func Supersedes(version uint64, target string, oldVersion uint64, oldTarget string) bool {
	if version != oldVersion {
		return version > oldVersion
	}
	return target < oldTarget
}

// RecordAssignment stores an assignment that another instance made, or this one in an earlier run. It is ignored unless
// it supersedes the stored one.
func (p *Placer) RecordAssignment(now time.Time, object uint64, target, route string, version uint64) {
	a := &p.assigner
	if old, ok := a.objects[object]; ok && !Supersedes(version, target, old.version, old.target) {
		return
	}
	a.store(object, &assignedObject{target: target, route: route, version: version, placedAt: now})
}

// assign assigns an object to a target: the one in the hint if it can be used, otherwise the least loaded one. A hinted
// target that may still announce itself is returned without an assignment.
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

// assignCold assigns an object to a target that does not have it warm.
func (p *Placer) assignCold(now time.Time, object uint64, request AssignRequest, target *Target, reason string,
) Assignment {
	target.addPending(now, p.assigner.slotsPerObject)
	return p.assigner.placeAt(now, object, request, target.Name, reason)
}

// placeAt stores a new version of an object's assignment, and returns it for a request that makes the first run.
func (a *assigner) placeAt(now time.Time, object uint64, request AssignRequest, target, reason string) Assignment {
	next := &assignedObject{
		target: target, route: request.Route, version: 1, placedAt: now, warmAt: now.Add(request.ColdTime),
		lastRequest: request,
	}
	if old, ok := a.objects[object]; ok {
		next.version = old.version + 1
	}
	a.store(object, next)
	return Assignment{
		Target: target, Route: request.Route, Reason: reason, Version: next.version, FirstRun: true, Changed: true,
	}
}

// store replaces an object's assignment. When there are too many objects, it drops all the others.
func (a *assigner) store(object uint64, next *assignedObject) {
	a.remove(object)
	if a.objects == nil || len(a.objects) >= maxObjects {
		a.objects, a.objectCounts, a.owned = map[uint64]*assignedObject{}, map[string]map[string]int{},
			map[uint64]*assignedObject{}
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

// allRoutes is the key for the objects of all routes together.
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

// eligible reports whether a target may keep an object that is assigned to it, or get one: it is the current one of its
// name, not down, and in one of the regions.
func (p *Placer) eligible(now time.Time, target *Target, regions []string) bool {
	return p.byName[target.Name] == target && !target.down(now) && inRegions(target.Region, regions)
}

// Eligible reports whether the target of a name is there and may be used for an object that it has warm.
func (p *Placer) Eligible(now time.Time, target string, regions []string) bool {
	found, ok := p.byName[target]
	return ok && p.eligible(now, found, regions)
}

func inRegions(region string, regions []string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

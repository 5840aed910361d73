package placer

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// movePause is the least time between two moves of objects by one instance: each has an object run cold once.
	movePause = 250 * time.Millisecond
	// announceTime is in which the targets that are there announce themselves to a system that has just started.
	announceTime = 2 * time.Second
	// crossRate is the part of its objects that an instance moves between regions in a second. Two seconds of it and all
	// of awayPart leave the links between regions what they are planned for.
	crossRate = 0.02
	// half an object on top makes the parts of the regions come out even where there are few objects.
	half = 0.5
)

// Ask is the question where a request should go, put to the instance that answers for its object.
type Ask struct {
	Object string
	// Route is what the object is of; objects of one route ask for about the same work.
	Route string
	// Hint is the target where the asker last saw the object, or empty.
	Hint string
	// Cold is what a run of the object at a target that does not have it warm is expected to take.
	Cold time.Duration
	// Regions that may serve the request; empty allows all.
	Regions []string
}

// Place is the answer to an Ask.
type Place struct {
	// Target is empty if none may be used.
	Target string
	// WarmAt is when the object's first run there is expected to have ended, zero if it is warm or if the asker is to
	// make that run.
	WarmAt time.Time
	// Reason is a single word for logs: known, hint, new, joined, region or awaited.
	Reason string
	// First is set for the request that makes the object's first run at the target.
	First bool
	// Settled is set when the object's place changed, or was not known to this instance.
	Settled bool
}

// assigner keeps the target of each object for which this instance answers to all of its region. It answers the load in
// which most targets run objects cold: instances that each choose by what they know of the targets' load disagree about an
// object, so it runs cold at several targets, one after the other and beside each other, until the slots are full of
// such runs. One instance that answers for an object starts it cold once, and gives all targets like numbers of objects.
type assigner struct {
	objects map[string]*assigned
	// counts are how many objects of each route a target has.
	counts map[*Target]map[string]int
	// parts are the parts of the objects that go to each region, by its slots.
	parts map[string]float64
	// offset is where this instance begins among equal targets. All instances would else fill the same ones first.
	offset float64
	// newest is when the last target became ready for objects.
	newest time.Time
	// moveAt is when the next object may move at all.
	moveAt time.Time
	// crossAt is when the next object may go to another region.
	crossAt time.Time
}

// assigned is one object's place.
type assigned struct {
	target   *Target
	route    string
	placedAt time.Time
	warmAt   time.Time
}

// Own tells which objects this instance answers for, as one of so many, the position-th of them. Others are forgotten.
func (p *Placer) Own(owns func(object string) bool, position, of int) {
	a := &p.assigner
	a.offset = float64(position) / float64(max(1, of))
	for object := range a.objects {
		if !owns(object) {
			a.forget(object)
		}
	}
}

// Assign says where a request for an object goes.
func (p *Placer) Assign(now time.Time, ask Ask) Place {
	a := &p.assigner
	found, ok := a.objects[ask.Object]
	if !ok || !p.keeps(now, found.target, ask.Regions) {
		return p.assign(now, ask)
	}
	if target, reason := p.better(now, found, ask); target != nil {
		a.moveAt = now.Add(movePause)
		return a.put(now, ask, target, reason)
	}
	place := Place{Target: found.target.Name, Reason: "known"}
	if now.Before(found.warmAt) {
		place.WarmAt = found.warmAt
	}
	return place
}

// assign gives an object a target: the one where the asker saw it, else the one with the fewest objects.
func (p *Placer) assign(now time.Time, ask Ask) Place {
	a := &p.assigner
	a.forget(ask.Object)
	if seen, ok := p.byName[ask.Hint]; ok && p.keeps(now, seen, ask.Regions) {
		place := a.put(now, ask, seen, "hint")
		place.First = false
		a.objects[ask.Object].warmAt = now
		return place
	}
	if p.awaited(now, ask.Hint) {
		return Place{Target: ask.Hint, Reason: "awaited"}
	}
	target := p.emptiest(p.region(now, ask), now, ask)
	if target == nil {
		return Place{}
	}
	return a.put(now, ask, target, "new")
}

func (a *assigner) put(now time.Time, ask Ask, target *Target, reason string) Place {
	a.forget(ask.Object)
	if a.objects == nil || len(a.objects) >= maxObjects {
		a.objects, a.counts = map[string]*assigned{}, map[*Target]map[string]int{}
	}
	a.objects[ask.Object] = &assigned{target: target, route: ask.Route, placedAt: now, warmAt: now.Add(ask.Cold)}
	if a.counts[target] == nil {
		a.counts[target] = map[string]int{}
	}
	a.counts[target][ask.Route]++
	return Place{Target: target.Name, Reason: reason, First: true, Settled: true}
}

func (a *assigner) forget(object string) {
	if old, ok := a.objects[object]; ok {
		a.counts[old.target][old.route]--
		delete(a.objects, object)
	}
}

// drop forgets the objects of targets that are gone.
func (a *assigner) drop(targets []*Target) {
	for object, found := range a.objects {
		if !slices.Contains(targets, found.target) {
			a.forget(object)
		}
	}
	for target := range a.counts {
		if !slices.Contains(targets, target) {
			delete(a.counts, target)
		}
	}
}

// keeps reports whether a target may go on being an object's.
func (p *Placer) keeps(now time.Time, target *Target, regions []string) bool {
	return p.byName[target.Name] == target && !target.down(now) && inRegions(target.Region, regions)
}

// Holds reports whether a target may be used for an object that it has warm.
func (p *Placer) Holds(now time.Time, target string, regions []string) bool {
	found, ok := p.byName[target]
	return ok && p.keeps(now, found, regions)
}

func inRegions(region string, regions []string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// region chooses the region that has the fewest objects of a route for its part.
func (p *Placer) region(now time.Time, ask Ask) string {
	best, least := "", math.Inf(1)
	for _, r := range slices.Sorted(maps.Keys(p.assigner.parts)) {
		if score := p.filled(r, ask.Route, 0); score < least && p.open(now, r, ask) {
			best, least = r, score
		}
	}
	return best
}

func (p *Placer) objectsIn(region, route string) int {
	n := 0
	for target, counts := range p.assigner.counts {
		if target.Region == region {
			n += counts[route]
		}
	}
	return n
}

// emptiest returns the target of a region with the fewest objects of a route for its slots and its pace.
func (p *Placer) emptiest(region string, now time.Time, ask Ask) *Target {
	var best *Target
	least := math.Inf(1)
	near := p.hosts.byRegion[region]
	first := int(p.assigner.offset * float64(len(near)))
	for i := range near {
		target := near[(first+i)%len(near)]
		if !p.keeps(now, target, ask.Regions) {
			continue
		}
		objects := float64(p.assigner.counts[target][ask.Route]) + half
		if score := objects / max(1, float64(target.Slots)) * target.slowness(now); score < least {
			best, least = target, score
		}
	}
	return best
}

// better returns the target that an object is to move to now and why, or nil. Objects move only after targets have joined.
func (p *Placer) better(now time.Time, found *assigned, ask Ask) (*Target, string) {
	if now.Before(p.assigner.moveAt) || now.Before(found.warmAt) || !found.placedAt.Before(p.assigner.newest) {
		return nil, ""
	}
	if target := p.newcomer(now, found, ask); target != nil {
		return target, "joined"
	}
	return p.roomier(now, found, ask), "region"
}

// newcomer returns a target that became ready after the object was placed, if the object is of those that fall to it. A new
// target would else stay empty, for all objects have their place.
func (p *Placer) newcomer(now time.Time, found *assigned, ask Ask) *Target {
	near := slices.DeleteFunc(slices.Clone(p.hosts.byRegion[found.target.Region]), func(t *Target) bool {
		return !p.keeps(now, t, ask.Regions)
	})
	if target := first(ask.Object, near); target.readyAt().After(found.placedAt) {
		return target
	}
	return nil
}

// roomier returns a target in a region that has fewer objects for its part than the object's. A region that had lost all
// its targets would else stay empty when they are back, for its objects have found places elsewhere.
func (p *Placer) roomier(now time.Time, found *assigned, ask Ask) *Target {
	a := &p.assigner
	if now.Before(a.crossAt) {
		return nil
	}
	from, to := found.target.Region, p.region(now, ask)
	if from == to || p.filled(to, ask.Route, 1) > p.filled(from, ask.Route, 0) {
		a.crossAt = now.Add(movePause)
		return nil
	}
	a.crossAt = now.Add(time.Duration(float64(time.Second) / (crossRate * float64(len(a.objects)))))
	return p.emptiest(to, now, ask)
}

// filled is how many objects of a route a region has for its part, with some more.
func (p *Placer) filled(region, route string, more float64) float64 {
	return (float64(p.objectsIn(region, route)) + more + half) / max(minShare, p.assigner.parts[region])
}

// open reports whether a region has a target for an object.
func (p *Placer) open(now time.Time, region string, ask Ask) bool {
	return slices.ContainsFunc(p.hosts.byRegion[region], func(t *Target) bool { return p.keeps(now, t, ask.Regions) })
}

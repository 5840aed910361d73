package placer

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// objectOffset an object on top makes the parts of the regions come out even where there are few objects.
	objectOffset = 0.5
	// loadStep is how finely targets are told apart by their load, in requests per slot. Told apart further, all
	// instances would give their objects to the same emptiest target at once.
	loadStep = 0.25
	// slowdownStep is the same for how slow a target is.
	slowdownStep = 0.5
	// instancesPerTarget is how many instances consider a target at a time, minCandidates how many targets one considers.
	instancesPerTarget = 4
	minCandidates      = 6
)

// chooseRegion chooses the chooseRegion that has the fewest objects of a route for its part.
func (p *Placer) chooseRegion(now time.Time, request AssignRequest) string {
	best, least := "", math.Inf(1)
	for _, r := range slices.Sorted(maps.Keys(p.assigner.regionShares)) {
		if score := p.fillRatio(r, request.Route, 0); score < least && p.regionEligible(now, r, request) {
			best, least = r, score
		}
	}
	return best
}

// ownedObjectsIn counts the objects of a route in a region for which this instance answers. Each instance evens out its own:
// by those of all, hundreds of objects that want a place at once would all go to the region that is behind.
func (p *Placer) ownedObjectsIn(region, route string) int {
	n := 0
	for _, assigned := range p.assigner.owned {
		if target, ok := p.byName[assigned.target]; ok && target.Region == region && assigned.route == route {
			n++
		}
	}
	return n
}

// leastLoadedTarget returns the target with most room for an object, of those of a region that this instance considers: with the
// least load, and of those the one with the fewest objects of its route for its slots.
func (p *Placer) leastLoadedTarget(region string, now time.Time, object uint64, request AssignRequest) *Target {
	var best *Target
	leastLoad, leastObjects := math.Inf(1), math.Inf(1)
	for _, target := range p.candidates(region, object) {
		if !p.eligible(now, target, request.Regions) {
			continue
		}
		load := math.Floor(target.expectedLoad(now)/loadStep) * max(1, math.Floor(target.slowdown(now)/slowdownStep)*slowdownStep)
		objects := (float64(p.assigner.objectCounts[target.Name][request.Route]) + objectOffset) / max(1, float64(target.Slots))
		if load < leastLoad || load == leastLoad && objects < leastObjects {
			best, leastLoad, leastObjects = target, load, objects
		}
	}
	return best
}

// candidates are some targets of a region from a place of this instance's own on, and as many from one of the object's.
// Of all targets, all instances would choose the same emptiest ones in the half second that news takes, as when a zone is
// lost and hundreds of objects want a place; few instances consider the same few.
func (p *Placer) candidates(region string, object uint64) []*Target {
	near := p.hosts.byRegion[region]
	a := &p.assigner
	n := max(minCandidates, instancesPerTarget*len(near)/max(1, a.ownerCount))
	own := int(a.offset * float64(len(near)))
	if n >= len(near) {
		return slices.Concat(near[own:], near[:own])
	}
	out := make([]*Target, 0, 2*n)
	start := int(object % uint64(len(near)))
	for i := range n {
		out = append(out, near[(own+i)%len(near)])
	}
	for i := range n {
		out = append(out, near[(start+i)%len(near)])
	}
	return out
}

// fillRatio is how many objects of a route a region has for its part, with some more.
func (p *Placer) fillRatio(region, route string, extra float64) float64 {
	return (float64(p.ownedObjectsIn(region, route)) + extra + objectOffset) / max(minShare, p.assigner.regionShares[region])
}

// regionEligible reports whether a region has a target for an object.
func (p *Placer) regionEligible(now time.Time, region string, request AssignRequest) bool {
	return slices.ContainsFunc(p.hosts.byRegion[region], func(t *Target) bool { return p.eligible(now, t, request.Regions) })
}

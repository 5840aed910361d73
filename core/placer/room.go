package placer

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// half an object on top makes the parts of the regions come out even where there are few objects.
	half = 0.5
	// loadStep is how finely targets are told apart by their load, in requests per slot. Told apart further, all
	// instances would give their objects to the same emptiest target at once.
	loadStep = 0.25
	// paceStep is the same for how slow a target is.
	paceStep = 0.5
	// considered is how many instances consider a target at a time, minCandidates how many targets one considers.
	considered    = 4
	minCandidates = 6
)

// region chooses the region that has the fewest objects of a route for its part.
func (p *Placer) region(now time.Time, ask AssignRequest) string {
	best, least := "", math.Inf(1)
	for _, r := range slices.Sorted(maps.Keys(p.assigner.parts)) {
		if score := p.filled(r, ask.Route, 0); score < least && p.open(now, r, ask) {
			best, least = r, score
		}
	}
	return best
}

// objectsIn counts the objects of a route in a region for which this instance answers. Each instance evens out its own:
// by those of all, hundreds of objects that want a place at once would all go to the region that is behind.
func (p *Placer) objectsIn(region, route string) int {
	n := 0
	for _, found := range p.assigner.own {
		if target, ok := p.byName[found.target]; ok && target.Region == region && found.route == route {
			n++
		}
	}
	return n
}

// emptiest returns the target with most room for an object, of those of a region that this instance considers: with the
// least load, and of those the one with the fewest objects of its route for its slots.
func (p *Placer) emptiest(region string, now time.Time, object uint64, ask AssignRequest) *Target {
	var best *Target
	leastLoad, leastObjects := math.Inf(1), math.Inf(1)
	for _, target := range p.candidates(region, object) {
		if !p.keeps(now, target, ask.Regions) {
			continue
		}
		load := math.Floor(target.expected(now)/loadStep) * max(1, math.Floor(target.slowness(now)/paceStep)*paceStep)
		objects := (float64(p.assigner.counts[target.Name][ask.Route]) + half) / max(1, float64(target.Slots))
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
	n := max(minCandidates, considered*len(near)/max(1, a.of))
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

// filled is how many objects of a route a region has for its part, with some more.
func (p *Placer) filled(region, route string, more float64) float64 {
	return (float64(p.objectsIn(region, route)) + more + half) / max(minShare, p.assigner.parts[region])
}

// open reports whether a region has a target for an object.
func (p *Placer) open(now time.Time, region string, ask AssignRequest) bool {
	return slices.ContainsFunc(p.hosts.byRegion[region], func(t *Target) bool { return p.keeps(now, t, ask.Regions) })
}

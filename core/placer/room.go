package placer

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// objectOffset, half an object, is added to each count, so that the shares of the regions come out even where there
	// are few objects.
	objectOffset = 0.5
	// loadStep is the step to which targets' loads are rounded down for comparison, in requests per slot. With a
	// smaller one, all instances would assign their objects to the same least loaded target at once.
	loadStep = 0.25
	// slowdownStep is the same for the slowdown of a target.
	slowdownStep = 0.5
	// instancesPerTarget is about how many instances consider a target at a time, minCandidates the least number of
	// targets that one instance considers.
	instancesPerTarget = 4
	minCandidates      = 6
)

// chooseRegion returns the region that has the fewest objects of a route for its share.
func (p *Placer) chooseRegion(now time.Time, request AssignRequest) string {
	best, least := "", math.Inf(1)
	for _, r := range slices.Sorted(maps.Keys(p.assigner.regionShares)) {
		if score := p.fillRatio(r, request.Route, 0); score < least && p.regionEligible(now, r, request) {
			best, least = r, score
		}
	}
	return best
}

// ownedObjectsIn counts the objects of a route in a region that this instance owns. Each instance balances its own
// objects: by the counts of all objects, hundreds that need a target at once would all go to the one region that has
// the fewest for its share.
func (p *Placer) ownedObjectsIn(region, route string) int {
	n := 0
	for _, assigned := range p.assigner.owned {
		if target, ok := p.byName[assigned.target]; ok && target.Region == region && assigned.route == route {
			n++
		}
	}
	return n
}

// leastLoadedTarget returns the target for an object, of those of a region that this instance considers: the one with
// the least load, multiplied by its slowdown, and of several such the one with the fewest objects of its route per
// slot.
func (p *Placer) leastLoadedTarget(region string, now time.Time, object uint64, request AssignRequest) *Target {
	var best *Target
	leastLoad, leastObjects := math.Inf(1), math.Inf(1)
	for _, target := range p.candidates(region, object) {
		if !p.eligible(now, target, request.Regions) || now.Before(p.returnAt(now, target)) {
			continue
		}
		load := math.Floor(target.expectedLoad(now)/loadStep) *
			max(1, math.Floor(target.slowdown(now)/slowdownStep)*slowdownStep)
		objects := (float64(p.assigner.objectCounts[target.Name][request.Route]) + objectOffset) /
			max(1, float64(target.Slots))
		if load < leastLoad || load == leastLoad && objects < leastObjects {
			best, leastLoad, leastObjects = target, load, objects
		}
	}
	return best
}

// candidates returns some targets of a region beginning at this instance's own position, and as many beginning at the
// object's; where there are few targets, all of them. If all targets were compared, all instances would choose the same
// least loaded ones within the half second that updates take to arrive, as when an availability zone is lost and
// hundreds of objects need a target; this way few instances consider the same targets.
func (p *Placer) candidates(region string, object uint64) []*Target {
	targets := p.hosts.byRegion[region]
	a := &p.assigner
	n := max(minCandidates, instancesPerTarget*len(targets)/max(1, a.ownerCount))
	ownStart := int(a.offset * float64(len(targets)))
	if n >= len(targets) {
		return slices.Concat(targets[ownStart:], targets[:ownStart])
	}
	out := make([]*Target, 0, 2*n)
	objectStart := int(object % uint64(len(targets)))
	for i := range n {
		out = append(out, targets[(ownStart+i)%len(targets)])
	}
	for i := range n {
		out = append(out, targets[(objectStart+i)%len(targets)])
	}
	return out
}

// fillRatio is how many objects of a route a region has, and extra ones, relative to its share.
func (p *Placer) fillRatio(region, route string, extra float64) float64 {
	return (float64(p.ownedObjectsIn(region, route)) + extra + objectOffset) /
		max(minShare, p.assigner.regionShares[region])
}

// regionEligible reports whether a region has a target for an object.
func (p *Placer) regionEligible(now time.Time, region string, request AssignRequest) bool {
	return slices.ContainsFunc(p.hosts.byRegion[region], func(t *Target) bool {
		return p.eligible(now, t, request.Regions)
	})
}

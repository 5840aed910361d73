package placer

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// balanceInterval is how often an instance checks the objects that it owns.
	balanceInterval = 200 * time.Millisecond
	// joinRate is the fraction of its objects that an instance moves to joined targets in a second. Each object runs
	// cold once after its move, so a higher rate would fill the slots with such runs.
	joinRate = 0.1
	// regionMoveRate is the fraction of its objects that an instance moves between regions in a second. Two seconds of
	// it together with all of crossRegionFraction stay within what the links between regions are planned for.
	regionMoveRate = 0.02
	// shedAbove is the load, in requests per slot, at which a target starts to shed objects, and shedDownTo the load at
	// which it has shed enough.
	shedAbove  = 1.3
	shedDownTo = 1.0
	// shedPeriod is the time in which a target sheds its excess load. Loads arrive with a delay of one or two seconds,
	// and a target that sheds faster has lost too many objects before that shows.
	shedPeriod = 3 * time.Second
	// minStay is the least time that an object stays at the target it was assigned to before that target may shed it.
	minStay = 3 * time.Second
	// shedLoadRatio is the highest load, relative to that of the shedding target, at which another target takes a shed
	// object.
	shedLoadRatio = 0.6
	// minSlotsPerObject is the least number of slots that an object is assumed to need, and the number assumed until
	// loads arrive.
	minSlotsPerObject = 0.1
)

// balancer moves objects during normal operation. It guards against a load that stays uneven for the rest of a day
// after random variation, or the loss of a target for a while, has put too many objects at some targets: requests wait
// and are refused there while other targets idle, and nothing else would move the objects.
type balancer struct {
	nextBalanceAt time.Time
	rounds        uint64
	// slotsPerObject is how many slots an average object needs.
	slotsPerObject float64
}

// Move is an object's new assignment.
type Move struct {
	Object uint64
	Assignment
}

// Balance moves some of the objects that this instance owns and returns the moves. It returns nothing if called again
// within balanceInterval.
func (p *Placer) Balance(now time.Time) []Move {
	a := &p.assigner
	if now.Before(a.nextBalanceAt) || len(a.owned) == 0 {
		return nil
	}
	a.nextBalanceAt = now.Add(balanceInterval)
	a.rounds++
	p.measureSlotsPerObject(now)
	var out []Move
	for _, object := range a.rotatedOwned() {
		assigned := a.objects[object]
		from, ok := p.byName[assigned.target]
		if !ok || now.Before(assigned.warmAt) || !p.eligible(now, from, assigned.lastRequest.Regions) {
			continue
		}
		if target, reason := p.betterTarget(now, object, assigned, from); target != nil {
			out = append(out, Move{object, p.assignCold(now, object, assigned.placementRequest(), target, reason)})
			// No request is sent there to make the first run, so no request may wait for that run.
			a.objects[object].warmAt = now
		}
	}
	return out
}

// placementRequest is the last request for an object, or one with only its route if there was none.
func (o *assignedObject) placementRequest() AssignRequest {
	request := o.lastRequest
	request.Route = o.route
	return request
}

// rotatedOwned lists the objects that this instance owns, in an order that differs from round to round.
func (a *assigner) rotatedOwned() []uint64 {
	out := slices.Sorted(maps.Keys(a.owned))
	if n := len(out); n > 0 {
		at := int(a.rounds % uint64(n))
		out = slices.Concat(out[at:], out[:at])
	}
	return out
}

// measureSlotsPerObject computes how many slots an average object needs, from the load of the region's targets and the
// number of their objects.
func (p *Placer) measureSlotsPerObject(now time.Time) {
	requests, objects := 0.0, 0
	for _, target := range p.hosts.byRegion[p.Region] {
		if load, ok := target.recentLoad(now); ok {
			requests += load * float64(target.Slots)
			objects += p.assigner.objectCounts[target.Name][allRoutes]
		}
	}
	p.assigner.slotsPerObject = max(minSlotsPerObject, requests/max(1, float64(objects)))
}

// betterTarget returns the target that an object is to move to now and the reason, or nil.
func (p *Placer) betterTarget(now time.Time, object uint64, assigned *assignedObject, from *Target) (*Target, string) {
	if target := p.shedTarget(now, object, assigned, from); target != nil {
		return target, "crowded"
	}
	a := &p.assigner
	if !assigned.placedAt.Before(a.newestReadyAt) {
		return nil, ""
	}
	if target := p.joinedTarget(now, object, assigned, from); target != nil &&
		a.allowMove(now, &a.nextJoinMoveAt, joinRate) {
		return target, "joined"
	}
	return p.otherRegionTarget(now, object, assigned, from), "region"
}

// allowMove reports whether one more of the instance's objects may move now; rate is the fraction of its objects that
// may move in a second. If so, it advances next, the time of the next move. After a pause instances start one after the
// other: if each moved one object at once, that could be a third of all objects.
func (a *assigner) allowMove(now time.Time, next *time.Time, rate float64) bool {
	interval := time.Duration(float64(time.Second) / (rate * float64(max(1, len(a.owned)))))
	if now.Sub(*next) > interval {
		*next = now.Add(time.Duration(a.offset * float64(interval)))
	}
	if now.Before(*next) {
		return false
	}
	*next = next.Add(interval)
	return true
}

// shedTarget returns a target with much less load for an object that an overloaded target sheds, or nil if the object
// stays. All owners of objects there decide at random, each with a probability at which together they take off the
// excess load.
func (p *Placer) shedTarget(now time.Time, object uint64, assigned *assignedObject, from *Target) *Target {
	a := &p.assigner
	load, ok := from.recentLoad(now)
	if !ok || load < shedAbove || now.Sub(assigned.placedAt) < minStay || a.objectCounts[from.Name][allRoutes] < 2 {
		return nil
	}
	fraction := (load - shedDownTo) / load * balanceInterval.Seconds() / shedPeriod.Seconds()
	if a.random(object) >= fraction {
		return nil
	}
	target := p.leastLoadedTarget(from.Region, now, object+a.rounds, assigned.placementRequest())
	if target == nil || target.expectedLoad(now)+a.slotsPerObject/max(1, float64(target.Slots)) > shedLoadRatio*load {
		return nil
	}
	return target
}

// random is a pseudo-random number from 0 to 1 that differs from object to object and from round to round.
func (a *assigner) random(object uint64) float64 {
	return float64(hashWeight(strconv.FormatUint(object, 16), strconv.FormatUint(a.rounds, 16))) / math.MaxUint64
}

// joinedTarget returns a target that became ready after the object was assigned, if the object is one of those that
// belong there by hash, or nil. Otherwise a new target would stay empty, because all objects have their targets.
func (p *Placer) joinedTarget(now time.Time, object uint64, assigned *assignedObject, from *Target) *Target {
	targets := slices.DeleteFunc(slices.Clone(p.hosts.byRegion[from.Region]), func(t *Target) bool {
		return !p.eligible(now, t, assigned.lastRequest.Regions) || now.Before(p.returnAt(now, t))
	})
	if len(targets) == 0 {
		return nil
	}
	if target := highestWeight(strconv.FormatUint(object, 16), targets); target.readyAt().After(assigned.placedAt) {
		return target
	}
	return nil
}

// otherRegionTarget returns a target in a region that has fewer objects for its share than the region of the object's
// target, or nil. Otherwise a region that had lost all its targets would stay empty after they return, because its
// objects were assigned elsewhere.
func (p *Placer) otherRegionTarget(now time.Time, object uint64, assigned *assignedObject, from *Target) *Target {
	if assigned.lastRequest.Object == "" {
		return nil
	}
	a, to := &p.assigner, p.chooseRegion(now, assigned.lastRequest)
	emptier := from.Region != to && p.fillRatio(to, assigned.route, 1) <= p.fillRatio(from.Region, assigned.route, 0)
	if !emptier || !a.allowMove(now, &a.nextRegionMoveAt, regionMoveRate) {
		return nil
	}
	return p.leastLoadedTarget(to, now, object, assigned.lastRequest)
}

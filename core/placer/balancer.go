package placer

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// balanceInterval is how often an instance looks at the objects for which it answers.
	balanceInterval = 200 * time.Millisecond
	// joinRate is the part of its objects that an instance lets follow joined targets in a second. Each runs cold once, so
	// more at a time would fill the slots with such runs.
	joinRate = 0.1
	// regionMoveRate is the part of its objects that an instance moves between regions in a second. Two seconds of it and all
	// of awayPart leave the links between regions what they are planned for.
	regionMoveRate = 0.02
	// shedAbove is the load, in requests per slot, from which on a target sheds objects, and relieved the load at which it
	// has shed enough.
	shedAbove  = 1.3
	shedDownTo = 1.0
	// shedPeriod is in what time a target sheds what it has too much of. Loads are told within a second or two, and a target
	// that sheds faster has lost too much before that shows.
	shedPeriod = 3 * time.Second
	// minStay is how long an object stays at least where it was put.
	minStay = 3 * time.Second
	// shedLoadRatio is how much less load the target must have that takes a shed object.
	shedLoadRatio = 0.6
	// minSlotsPerObject is taken for the slots that an object needs before loads are known.
	minSlotsPerObject = 0.1
)

// balancer moves objects in calm time. It answers the load that stays uneven for the rest of a day once chance, or a target
// that was lost for a while, has put too many objects at some targets: requests wait and are refused there while other
// targets idle, and nothing else would ever move them.
type balancer struct {
	nextBalanceAt time.Time
	rounds        uint64
	// slotsPerObject is how many slots an average object takes.
	slotsPerObject float64
}

// Move is an object's new place.
type Move struct {
	Object uint64
	Assignment
}

// Balance returns the objects that this instance moves now, of those for which it answers.
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
			// Nobody is sent to run it there first, so nobody is to wait for that run.
			a.objects[object].warmAt = now
		}
	}
	return out
}

// placementRequest is the last placementRequest for an object, or what is known of it without one.
func (o *assignedObject) placementRequest() AssignRequest {
	request := o.lastRequest
	request.Route = o.route
	return request
}

// rotatedOwned lists the objects for which this instance answers, in an order that differs from round to round.
func (a *assigner) rotatedOwned() []uint64 {
	out := slices.Sorted(maps.Keys(a.owned))
	if n := len(out); n > 0 {
		at := int(a.rounds % uint64(n))
		out = slices.Concat(out[at:], out[:at])
	}
	return out
}

// measureSlotsPerObject takes how many slots an average object needs, from the load of the region's targets and their objects.
func (p *Placer) measureSlotsPerObject(now time.Time) {
	held, objects := 0.0, 0
	for _, target := range p.hosts.byRegion[p.Region] {
		if load, ok := target.recentLoad(now); ok {
			held += load * float64(target.Slots)
			objects += p.assigner.objectCounts[target.Name][allRoutes]
		}
	}
	p.assigner.slotsPerObject = max(minSlotsPerObject, held/max(1, float64(objects)))
}

// betterTarget returns the target that an object is to move to now and why, or nil.
func (p *Placer) betterTarget(now time.Time, object uint64, assigned *assignedObject, from *Target) (*Target, string) {
	if target := p.shedTarget(now, object, assigned, from); target != nil {
		return target, "crowded"
	}
	a := &p.assigner
	if !assigned.placedAt.Before(a.newestReadyAt) {
		return nil, ""
	}
	if target := p.joinedTarget(now, object, assigned, from); target != nil && a.takeMove(now, &a.nextJoinMoveAt, joinRate) {
		return target, "joined"
	}
	return p.otherRegionTarget(now, object, assigned, from), "region"
}

// takeMove reports whether one more of the instance's objects may move now, at a rate; next is from when on. After a pause
// instances begin one after the other: if each moved one object at once, that could be a third of all objects.
func (a *assigner) takeMove(now time.Time, next *time.Time, rate float64) bool {
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

// shedTarget returns a target with much less load for an object of an overfull one, if the object is of those that go. All who
// answer for objects there decide by chance, each for as many as together take off what is too much.
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

// random is a number from 0 to 1 that differs from object to object and from round to round.
func (a *assigner) random(object uint64) float64 {
	return float64(hashWeight(strconv.FormatUint(object, 16), strconv.FormatUint(a.rounds, 16))) / math.MaxUint64
}

// joinedTarget returns a target that became ready after the object was placed, if the object is of those that fall to it. A new
// target would else stay empty, for all objects have their place.
func (p *Placer) joinedTarget(now time.Time, object uint64, assigned *assignedObject, from *Target) *Target {
	near := slices.DeleteFunc(slices.Clone(p.hosts.byRegion[from.Region]), func(t *Target) bool {
		return !p.eligible(now, t, assigned.lastRequest.Regions)
	})
	if target := highestWeight(strconv.FormatUint(object, 16), near); target.readyAt().After(assigned.placedAt) {
		return target
	}
	return nil
}

// otherRegionTarget returns a target in a region that has fewer objects for its part than the object's. A region that had lost all
// its targets would else stay empty when they are back, for its objects have found places elsewhere.
func (p *Placer) otherRegionTarget(now time.Time, object uint64, assigned *assignedObject, from *Target) *Target {
	if assigned.lastRequest.Object == "" {
		return nil
	}
	a, to := &p.assigner, p.chooseRegion(now, assigned.lastRequest)
	behind := from.Region != to && p.fillRatio(to, assigned.route, 1) <= p.fillRatio(from.Region, assigned.route, 0)
	if !behind || !a.takeMove(now, &a.nextRegionMoveAt, regionMoveRate) {
		return nil
	}
	return p.leastLoadedTarget(to, now, object, assigned.lastRequest)
}

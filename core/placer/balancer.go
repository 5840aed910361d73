package placer

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// balanceEvery is how often an instance looks at the objects for which it answers.
	balanceEvery = 200 * time.Millisecond
	// joinRate is the part of its objects that an instance lets follow joined targets in a second. Each runs cold once, so
	// more at a time would fill the slots with such runs.
	joinRate = 0.1
	// crossRate is the part of its objects that an instance moves between regions in a second. Two seconds of it and all
	// of awayPart leave the links between regions what they are planned for.
	crossRate = 0.02
	// overfull is the load, in requests per slot, from which on a target sheds objects, and relieved the load at which it
	// has shed enough.
	overfull = 1.3
	relieved = 1.0
	// shedSpan is in what time a target sheds what it has too much of. Loads are told within a second or two, and a target
	// that sheds faster has lost too much before that shows.
	shedSpan = 3 * time.Second
	// settleSpan is how long an object stays at least where it was put.
	settleSpan = 3 * time.Second
	// lessLoad is how much less load the target must have that takes a shed object.
	lessLoad = 0.6
	// leastDemand is taken for the slots that an object needs before loads are known.
	leastDemand = 0.1
)

// balancer moves objects in calm time. It answers the load that stays uneven for the rest of a day once chance, or a target
// that was lost for a while, has put too many objects at some targets: requests wait and are refused there while other
// targets idle, and nothing else would ever move them.
type balancer struct {
	balanceAt time.Time
	rounds    uint64
	// demand is how many slots an average object takes.
	demand float64
}

// Move is an object's new place.
type Move struct {
	Object uint64
	Assignment
}

// Balance returns the objects that this instance moves now, of those for which it answers.
func (p *Placer) Balance(now time.Time) []Move {
	a := &p.assigner
	if now.Before(a.balanceAt) || len(a.own) == 0 {
		return nil
	}
	a.balanceAt = now.Add(balanceEvery)
	a.rounds++
	p.measureDemand(now)
	var out []Move
	for _, object := range a.sortedOwn() {
		found := a.objects[object]
		from, ok := p.byName[found.target]
		if !ok || now.Before(found.warmAt) || !p.keeps(now, from, found.ask.Regions) {
			continue
		}
		if target, reason := p.better(now, object, found, from); target != nil {
			out = append(out, Move{object, p.give(now, object, found.question(), target, reason)})
			// Nobody is sent to run it there first, so nobody is to wait for that run.
			a.objects[object].warmAt = now
		}
	}
	return out
}

// question is the last question for an object, or what is known of it without one.
func (o *assigned) question() AssignRequest {
	ask := o.ask
	ask.Route = o.route
	return ask
}

// sortedOwn lists the objects for which this instance answers, in an order that differs from round to round.
func (a *assigner) sortedOwn() []uint64 {
	out := slices.Sorted(maps.Keys(a.own))
	if n := len(out); n > 0 {
		at := int(a.rounds % uint64(n))
		out = slices.Concat(out[at:], out[:at])
	}
	return out
}

// measureDemand takes how many slots an average object needs, from the load of the region's targets and their objects.
func (p *Placer) measureDemand(now time.Time) {
	held, objects := 0.0, 0
	for _, target := range p.hosts.byRegion[p.Region] {
		if load, ok := target.heard(now); ok {
			held += load * float64(target.Slots)
			objects += p.assigner.counts[target.Name][allRoutes]
		}
	}
	p.assigner.demand = max(leastDemand, held/max(1, float64(objects)))
}

// better returns the target that an object is to move to now and why, or nil.
func (p *Placer) better(now time.Time, object uint64, found *assigned, from *Target) (*Target, string) {
	if target := p.roomFor(now, object, found, from); target != nil {
		return target, "crowded"
	}
	a := &p.assigner
	if !found.placedAt.Before(a.newest) {
		return nil, ""
	}
	if target := p.newcomer(now, object, found, from); target != nil && a.due(now, &a.moveAt, joinRate) {
		return target, "joined"
	}
	return p.roomier(now, object, found, from), "region"
}

// due reports whether one more of the instance's objects may move now, at a rate; next is from when on. After a pause
// instances begin one after the other: if each moved one object at once, that could be a third of all objects.
func (a *assigner) due(now time.Time, next *time.Time, rate float64) bool {
	every := time.Duration(float64(time.Second) / (rate * float64(max(1, len(a.own)))))
	if now.Sub(*next) > every {
		*next = now.Add(time.Duration(a.offset * float64(every)))
	}
	if now.Before(*next) {
		return false
	}
	*next = next.Add(every)
	return true
}

// roomFor returns a target with much less load for an object of an overfull one, if the object is of those that go. All who
// answer for objects there decide by chance, each for as many as together take off what is too much.
func (p *Placer) roomFor(now time.Time, object uint64, found *assigned, from *Target) *Target {
	a := &p.assigner
	load, ok := from.heard(now)
	if !ok || load < overfull || now.Sub(found.placedAt) < settleSpan || a.counts[from.Name][allRoutes] < 2 {
		return nil
	}
	part := (load - relieved) / load * balanceEvery.Seconds() / shedSpan.Seconds()
	if a.chance(object) >= part {
		return nil
	}
	target := p.emptiest(from.Region, now, object+a.rounds, found.question())
	if target == nil || target.expected(now)+a.demand/max(1, float64(target.Slots)) > lessLoad*load {
		return nil
	}
	return target
}

// chance is a number from 0 to 1 that differs from object to object and from round to round.
func (a *assigner) chance(object uint64) float64 {
	return float64(weight(strconv.FormatUint(object, 16), strconv.FormatUint(a.rounds, 16))) / math.MaxUint64
}

// newcomer returns a target that became ready after the object was placed, if the object is of those that fall to it. A new
// target would else stay empty, for all objects have their place.
func (p *Placer) newcomer(now time.Time, object uint64, found *assigned, from *Target) *Target {
	near := slices.DeleteFunc(slices.Clone(p.hosts.byRegion[from.Region]), func(t *Target) bool {
		return !p.keeps(now, t, found.ask.Regions)
	})
	if target := first(strconv.FormatUint(object, 16), near); target.readyAt().After(found.placedAt) {
		return target
	}
	return nil
}

// roomier returns a target in a region that has fewer objects for its part than the object's. A region that had lost all
// its targets would else stay empty when they are back, for its objects have found places elsewhere.
func (p *Placer) roomier(now time.Time, object uint64, found *assigned, from *Target) *Target {
	if found.ask.Object == "" {
		return nil
	}
	a, to := &p.assigner, p.region(now, found.ask)
	behind := from.Region != to && p.filled(to, found.route, 1) <= p.filled(from.Region, found.route, 0)
	if !behind || !a.due(now, &a.crossAt, crossRate) {
		return nil
	}
	return p.emptiest(to, now, object, found.ask)
}

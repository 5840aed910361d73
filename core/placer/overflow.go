package placer

import (
	"time"

	"chervilrail.example/core/gauger"
)

const (
	// overflowWarmPeriod is how long a target that took an object's overflow is expected to keep the object warm.
	overflowWarmPeriod = 10 * time.Second
	// crossRegionFraction is the fraction of an instance's requests that may overflow into other regions, and
	// crossRegionWindow the time over which it is counted. All of it can start and end at once with a peak, and links
	// between regions are planned for moves of 15% in two seconds.
	crossRegionFraction = 0.1
	crossRegionWindow   = 2 * time.Second
	// minFreeForColdRun is the fraction of a target's slots that has to be free for an object's first overflow. That
	// run is cold and takes as long as three others.
	minFreeForColdRun = 0.25
)

// overflow sends requests whose host has no room to other targets. It is made for peaks at which some targets are full
// while others have free slots, because each object has one host and their load is uneven: requests would wait at the
// full targets until they are late or refused, beside idle slots. A run elsewhere is cold at first and warm from then
// on, so an object gets a second target only while its host is short of room.
type overflow struct {
	// recent holds, by object, the target that last took its overflow.
	recent map[string]overflowTarget
	// total and crossRegion count the requests placed recently, and those of them that overflowed into other regions,
	// as of at.
	total       float64
	crossRegion float64
	at          time.Time
}

// overflowTarget is a target that took an object's overflow, and the time until which it is expected to have the object
// warm.
type overflowTarget struct {
	target    string
	warmUntil time.Time
}

// warm reports whether a target took the object's overflow recently.
func (o *overflow) warm(now time.Time, object, target string) bool {
	last := o.recent[object]
	return last.target == target && now.Before(last.warmUntil)
}

// record stores the target that runs an object's overflow.
func (o *overflow) record(now time.Time, object, target string) {
	if o.recent == nil || len(o.recent) >= maxObjects {
		o.recent = map[string]overflowTarget{}
	}
	o.recent[object] = overflowTarget{target, now.Add(overflowWarmPeriod)}
}

// count counts a placed request; crossRegion is set if it overflowed into another region.
func (o *overflow) count(now time.Time, crossRegion bool) {
	weight := gauger.Decay(now.Sub(o.at), crossRegionWindow)
	o.total, o.crossRegion, o.at = o.total*weight+1, o.crossRegion*weight, now
	if crossRegion {
		o.crossRegion++
	}
}

// allowsCrossRegion reports whether one more request may overflow into another region.
func (o *overflow) allowsCrossRegion(now time.Time) bool {
	weight := gauger.Decay(now.Sub(o.at), crossRegionWindow)
	return o.crossRegion*weight+1 <= max(1, crossRegionFraction*(o.total*weight+1))
}

// chooseOverflow returns a target for a request whose host is full, or nil: one that took the object's overflow
// recently and has it warm, or, if the request would be late at its host and a cold run can end by its deadline,
// another of the object's hosts by hash.
func (p *Placer) chooseOverflow(now time.Time, t *Ticket, host *Target) *Target {
	if t.FirstRun || now.Before(t.WarmAt) {
		return nil
	}
	late := !t.onTime(now.Add(p.expectedWait(now, t)))
	cutOff := now.Add(t.ColdTime).After(t.Deadline)
	for _, target := range p.hosts.forObject(t.Key) {
		if target == host || !p.mayOverflow(now, t, host, target) || p.freeSlots(now, target) < 1 {
			continue
		}
		if !p.overflow.warm(now, t.Key, target.Name) {
			if !late || cutOff || !p.hasSpareSlots(now, host, target) {
				continue
			}
			p.overflow.record(now, t.Key, target.Name)
		}
		return target
	}
	return nil
}

// freeSlots estimates how many slots of a target are free.
func (p *Placer) freeSlots(now time.Time, target *Target) float64 {
	return float64(target.Slots) - p.outstanding(now, target)
}

// hasSpareSlots reports whether a target has slots to spare for runs that start cold, in a region with much less load
// than the host's. Where all regions are nearly full, such runs would take the last slots.
func (p *Placer) hasSpareSlots(now time.Time, host, target *Target) bool {
	if p.freeSlots(now, target) < minFreeForColdRun*float64(target.Slots) {
		return false
	}
	load := p.regionSplit.load(now, target.Region)
	return load < highLoad && load < maxLoadRatio*p.regionSplit.load(now, host.Region)
}

// mayOverflow reports whether a request may go from its full host to a target. After a failure or a change of targets,
// regions take as much as they have room for.
func (p *Placer) mayOverflow(now time.Time, t *Ticket, host, target *Target) bool {
	if !p.allowed(target, t) || !target.usable(now) || now.Before(target.ColdUntil) ||
		p.avoided(now, target) {
		return false
	}
	return target.Region == host.Region || p.regionSplit.unlimited(now) || p.overflow.allowsCrossRegion(now)
}

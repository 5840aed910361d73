package placer

import (
	"time"

	"chervilrail.example/core/gauger"
)

const (
	// overflowHold is how long a target that took an object's overflow is expected to keep the object warm.
	overflowHold = 10 * time.Second
	// awayPart is the part of an instance's requests that may overflow into other regions, and awaySpan the time over
	// which it is counted. All of it can come and go at once with a peak, and links between regions are planned for moves
	// of 15% in two seconds.
	awayPart = 0.1
	awaySpan = 2 * time.Second
	// coldFree is the part of a target's slots that has to be free for an object's first overflow. That run is cold and
	// takes as long as three others.
	coldFree = 0.25
)

// overflow takes requests whose host has no room for them. It answers the peak at which some targets are full while others
// have free slots, for objects have one host each and their load is uneven: requests would wait at the full ones until they
// are late or refused, beside idle slots. A run elsewhere is cold at first and then warm, so the object has a second place
// while its host is short of room, and only then.
type overflow struct {
	// taken holds, by object, where its overflow last went.
	taken map[string]taken
	// all and away count the requests placed lately, and those of them that overflowed into other regions, as of at.
	all  float64
	away float64
	at   time.Time
}

// taken is a target that took an object's overflow, and until when it is expected to have the object warm.
type taken struct {
	target    string
	warmUntil time.Time
}

// warm reports whether a target took the object's overflow lately.
func (o *overflow) warm(now time.Time, object, target string) bool {
	last := o.taken[object]
	return last.target == target && now.Before(last.warmUntil)
}

// note remembers a target that runs an object's overflow.
func (o *overflow) note(now time.Time, object, target string) {
	if o.taken == nil || len(o.taken) >= maxObjects {
		o.taken = map[string]taken{}
	}
	o.taken[object] = taken{target, now.Add(overflowHold)}
}

// placed counts a request; away tells that it overflowed into another region.
func (o *overflow) placed(now time.Time, away bool) {
	kept := gauger.Decay(now.Sub(o.at), awaySpan)
	o.all, o.away, o.at = o.all*kept+1, o.away*kept, now
	if away {
		o.away++
	}
}

// open reports whether one more request may overflow into another region.
func (o *overflow) open(now time.Time) bool {
	kept := gauger.Decay(now.Sub(o.at), awaySpan)
	return o.away*kept+1 <= max(1, awayPart*(o.all*kept+1))
}

// beside returns a target that takes a request whose host is full: one that has the object warm, or, if the request
// would be late at its host, the object's next one by hash.
func (p *Placer) beside(now time.Time, t *Ticket, host *Target) *Target {
	if t.FirstRun || now.Before(t.WarmAt) {
		return nil
	}
	late := !t.onTime(now.Add(p.expectedWait(now, t)))
	cutOff := now.Add(t.ColdTime).After(t.Deadline)
	for _, target := range p.hosts.of(t.Key) {
		if target == host || !p.mayOverflow(now, t, host, target) || p.free(now, target) < 1 {
			continue
		}
		if !p.overflow.warm(now, t.Key, target.Name) {
			if !late || cutOff || !p.idle(now, host, target) {
				continue
			}
			p.overflow.note(now, t.Key, target.Name)
		}
		return target
	}
	return nil
}

// free estimates how many slots of a target are free.
func (p *Placer) free(now time.Time, target *Target) float64 {
	return float64(target.Slots) - p.held(now, target)
}

// idle reports whether a target has slots to spare for runs that start cold, in a region with much less load than the
// host's. Where all regions are nearly full, such runs would fill the rest.
func (p *Placer) idle(now time.Time, host, target *Target) bool {
	if p.free(now, target) < coldFree*float64(target.Slots) {
		return false
	}
	load := p.spread.load(now, target.Region)
	return load < crowded && load < lighter*p.spread.load(now, host.Region)
}

// mayOverflow reports whether a request may go from its full host to a target. While something is broken, regions take as
// much as they have room for.
func (p *Placer) mayOverflow(now time.Time, t *Ticket, host, target *Target) bool {
	if !p.allowed(target, t) || !target.usable(now) || now.Before(target.ColdUntil) {
		return false
	}
	return target.Region == host.Region || p.spread.disturbed(now) || p.overflow.open(now)
}

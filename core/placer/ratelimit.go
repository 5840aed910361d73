package placer

import (
	"math"
	"slices"
	"time"

	"chervilrail.example/core/messenger"
)

const (
	// probeRate is the least rate, in requests per second, at which one instance sends to a target whatever its limit:
	// the end of a limit is learnt only from an answer.
	probeRate = 0.25
	// probeInterval is how long a target with a limit may go unheard before the next suitable request goes there.
	probeInterval = 1500 * time.Millisecond
	// scarceFraction is the fraction of what a target's slots can do below which its limit makes it no host for objects.
	scarceFraction = 0.5
	// rateStep is the relative increase below which a limit counts as unchanged.
	rateStep = 0.1
)

// RateLimit is a target's own limit of the requests that all entry instances together may send it, as far as known.
type RateLimit struct {
	// Named is set while the target's answers name the limit.
	Named bool
	// Rate is in requests per second.
	Rate float64
	// Incarnation is that of the target. Version increases with each change.
	Incarnation uint64
	Version     uint64
}

// Supersedes reports whether a limit takes precedence over another of the same target. Of two that instances learnt at
// the same time, all have to keep the same, and the stricter one does no harm.
func (l RateLimit) Supersedes(old RateLimit) bool {
	switch {
	case l.Incarnation != old.Incarnation:
		return l.Incarnation > old.Incarnation
	case l.Version != old.Version:
		return l.Version > old.Version
	case l.Named != old.Named:
		return l.Named
	}
	return l.Rate < old.Rate
}

// changes reports whether a limit in an answer differs from the known one by more than a small increase.
func (l RateLimit) changes(named *messenger.Limit) bool {
	switch {
	case named == nil:
		return l.Named
	case !l.Named:
		return true
	}
	return named.PerSecond < l.Rate || named.PerSecond > l.Rate*(1+rateStep)
}

// divider divides a target's limit among the entry instances.
type divider interface {
	// part returns the rate of the instance at a position of the target's order of instances, of a total number of them.
	part(rate float64, position, total int) float64
}

// holders gives equal parts to the first instances of a target's order: as many as get a request a second each, one at
// least. Were the limit divided among all, the parts of hundreds of instances would be below one request each in the
// time in which the limit counts, and together far above it as soon as each sends one.
type holders struct{}

func (holders) part(rate float64, position, total int) float64 {
	n := max(1, min(total, int(math.Floor(rate))))
	if position < 0 || position >= n {
		return 0
	}
	part := rate / float64(n)
	if position == 0 {
		part = max(part, probeRate)
	}
	return part
}

// allowance is this instance's part of a target's limit.
type allowance struct {
	RateLimit
	// part is the rate at which this instance may send, in requests per second; tokens is how many requests it may send
	// as of at, one at most: more would add up to too many over all instances.
	part   float64
	tokens float64
	at     time.Time
	// since is when this instance learned of the limit, heardAt when an answer last named it.
	since   time.Time
	heardAt time.Time
	// scarce is set if the target can take so little that its objects have to go elsewhere, endedAt when that ended last.
	scarce  bool
	endedAt time.Time
}

// allows reports whether this instance may send a request now.
func (a *allowance) allows(now time.Time) bool { return !a.Named || a.balance(now) >= 1 }

func (a *allowance) balance(now time.Time) float64 {
	return min(1, a.tokens+a.part*now.Sub(a.at).Seconds())
}

// spend counts a request.
func (a *allowance) spend(now time.Time) {
	if a.Named {
		a.tokens, a.at = a.balance(now)-1, now
	}
}

// nextAt is when this instance may send the next request; zero if it has no part of the limit.
func (a *allowance) nextAt(now time.Time) time.Time {
	if a.allows(now) {
		return now
	}
	if a.part == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration((1 - a.balance(now)) / a.part * float64(time.Second)))
}

// set stores a limit and this instance's part of it. An instance that did not know of the limit has just sent requests,
// so it begins with none left.
func (a *allowance) set(now time.Time, l RateLimit, part float64, scarce bool) {
	if !a.Named {
		a.tokens, a.since, a.heardAt = 0, now, now
	} else {
		a.tokens = a.balance(now)
	}
	if a.scarce && !scarce {
		a.endedAt = now
	}
	a.RateLimit, a.part, a.at, a.scarce = l, part, now, scarce
}

// Position returns this instance's position in the order of the instances that may send to a target, and the number of
// those. The position is negative if it is none of them.
type Position func(target, region string) (position, total int)

// setLimit puts a target's limit into force here.
func (p *Placer) setLimit(now time.Time, t *Target, l RateLimit) {
	position, total := 0, 1
	if p.Position != nil {
		position, total = p.Position(t.Name, t.Region)
	}
	capacity := float64(t.Slots) / p.typicalServiceTime().Seconds()
	t.allowance.set(now, l, p.divider().part(l.Rate, position, total), l.Named && l.Rate < scarceFraction*capacity)
	p.assigner.recordReady(t)
	p.limited = slices.DeleteFunc(p.limited, func(other *Target) bool { return other == t })
	if l.Named {
		p.limited = append(p.limited, t)
	}
}

func (p *Placer) divider() divider {
	if p.division != nil {
		return p.division
	}
	return holders{}
}

// updateLimits applies the limits of the control state, and this instance's parts after a change of the instances.
func (p *Placer) updateLimits(now time.Time) {
	p.limited = nil
	for _, t := range p.targets {
		l := t.allowance.RateLimit
		if t.Limit.Supersedes(l) {
			l = t.Limit
		}
		if l.Named || t.allowance.Named {
			p.setLimit(now, t, l)
		}
	}
}

// RecordLimit stores what an answer of a target says of its limit; sent is when its request was sent. It returns the new
// limit and true if other instances have to learn of it. An answer without a limit ends it only if it is one to a request
// that was sent while the limit was known: others may have been under way when it began.
func (p *Placer) RecordLimit(now, sent time.Time, t *Target, named *messenger.Limit) (RateLimit, bool) {
	a := &t.allowance
	if p.byName[t.Name] != t {
		return RateLimit{}, false
	}
	if named != nil {
		a.heardAt = now
	}
	if !a.changes(named) || named == nil && sent.Before(a.since) {
		return RateLimit{}, false
	}
	next := RateLimit{Incarnation: t.Incarnation, Version: a.Version + 1}
	if named != nil {
		next.Named, next.Rate = true, named.PerSecond
	}
	p.setLimit(now, t, next)
	return next, true
}

// unheard returns a target with a limit from which nothing was heard for probeInterval, if a request may go there and a
// cold run there is on time; nil if there is none. Otherwise nobody would learn that a limit has ended, where the
// objects of its target have gone elsewhere.
func (p *Placer) unheard(now time.Time, t *Ticket) *Target {
	for _, target := range p.limited {
		if now.Sub(target.allowance.heardAt) >= probeInterval && p.allowed(target, t) && target.usable(now) &&
			!now.Add(t.ColdTime).After(t.SoftDeadline) {
			target.allowance.heardAt = now // one request at a time
			return target
		}
	}
	return nil
}

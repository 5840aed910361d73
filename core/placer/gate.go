package placer

import "time"

// usable reports whether one more request may be sent to the target now. Every way to a target asks it: choice, host,
// overflow, repeats, and requests that look whether a limit has ended.
func (t *Target) usable(now time.Time) bool {
	if t.leaving || now.Before(t.ejectedUntil) || !t.allowance.allows(now) || !t.backoff.allows(now, t.running) {
		return false
	}
	if !now.Before(t.ColdUntil) {
		return true
	}
	// A cold target crashes when it gets much more than its rate.
	return t.OwnSlots > 0 && float64(len(t.recentSends(now)))+1 <= t.Rate
}

// usableAt is when the target may take this instance's next request, zero if it is not known to take any.
func (t *Target) usableAt(now time.Time) time.Time {
	if t.leaving {
		return time.Time{}
	}
	at := t.allowance.nextAt(now)
	if at.IsZero() || at.After(t.backoff.resumeAt) {
		return at
	}
	return t.backoff.resumeAt
}

// down reports whether the target's objects have to go elsewhere: it can't be reached, has lost its warm objects, or
// takes far less than they need, or leaves.
func (t *Target) down(now time.Time) bool {
	return t.leaving || now.Before(t.ColdUntil) || t.allowance.scarce || t.failures >= downAfter && now.Before(t.ejectedUntil)
}

// binds reports whether something holds that the target said in its answers.
func (t *Target) binds(now time.Time) bool { return t.leaving || now.Before(t.backoff.resumeAt) }

// readyAt is when the target became able to keep objects warm, zero if it could from the start.
func (t *Target) readyAt() time.Time {
	latest := t.joinedAt
	for _, at := range []time.Time{t.ColdUntil, t.allowance.endedAt} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// Withhold reports why a request that was decided for a target must not be sent there any more, empty if it may: what
// holds now may have been learnt after the decision, while the request waited for a connection.
func (p *Placer) Withhold(now time.Time, t *Target) string {
	switch {
	case p.byName[t.Name] != t:
		return "withdrawn"
	case t.leaving:
		return "leaving"
	case now.Before(t.backoff.until):
		return "backoff"
	}
	return ""
}

// current returns the target that a request was sent to as it is known now, and whether it is in the control state. It
// returns nil if the target has started again since, so that what the answer says does not hold any more.
func (p *Placer) current(t *Target) (current *Target, listed bool) {
	current, listed = p.byName[t.Name]
	switch {
	case !listed:
		return t, false
	case current.Incarnation != t.Incarnation:
		return nil, true
	}
	return current, true
}

// RecordLeaving records that a target has said that it leaves, and reports whether that was not known.
func (p *Placer) RecordLeaving(now time.Time, t *Target) bool {
	t, listed := p.current(t)
	if t == nil || t.leaving {
		return false
	}
	t.leaving = true
	if !listed {
		p.departed.add(now, map[string]*Target{t.Name: t})
		return true
	}
	p.regionSplit.liftLimit(now)
	return true
}

// roomAt returns when a target may take a request, as far as limits and backoffs say, zero if they do not: every target
// that may take it has a limit of which this instance has no part.
func (p *Placer) roomAt(now time.Time, t *Ticket) time.Time {
	var earliest time.Time
	for _, target := range p.targets {
		if !p.allowed(target, t) {
			continue
		}
		at := target.usableAt(now)
		if !at.After(now) && !at.IsZero() {
			return now
		}
		if earliest.IsZero() || !at.IsZero() && at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// refuseHopeless returns the refusal of a request for which no target has room until the request may not wait any
// longer; false if one may.
func (p *Placer) refuseHopeless(now time.Time, t *Ticket) (Decision, bool) {
	at := p.roomAt(now, t)
	if !at.IsZero() && !at.After(t.queueDeadline) {
		return Decision{}, false
	}
	return Decision{Retry: p.spread(now, p.retryAt(now, max(at.Sub(now), limitedRetry))), Reason: "limited"}, true
}

// retrySpread is the fraction of the time to a retry over which callers' retries are spread beyond it, minRetrySpread the
// least time.
const (
	retrySpread    = 0.25
	minRetrySpread = 200 * time.Millisecond
)

// spread returns a time at or after the given one, a different one for each refused caller: all would come back at the
// moment at which a target in need takes requests again.
func (p *Placer) spread(now, at time.Time) time.Time {
	const goldenRatio = 0.6180339887
	p.refusals++
	part := float64(p.refusals)*goldenRatio - float64(uint64(float64(p.refusals)*goldenRatio))
	width := max(minRetrySpread, time.Duration(retrySpread*float64(at.Sub(now))))
	return at.Add(time.Duration(part * float64(width)))
}

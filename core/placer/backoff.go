package placer

import (
	"slices"
	"time"
)

const (
	// maxBackoff bounds a backoff, whatever the target asks for: after it one request looks whether the target takes any.
	maxBackoff = 5 * time.Minute
	// minReturnDelay is how much longer than asked for an instance keeps away. It doubles with each further backoff of a
	// series, up to maxReturnDelay: a target that asks for little, again and again, would reject a large part of all
	// requests.
	minReturnDelay = 50 * time.Millisecond
	maxReturnDelay = 2 * time.Second
	// minReportedBackoff is the least backoff that other instances are told of: a shorter one is over when they learn of
	// it. reportStep is the least time by which it has to be longer than the one that they know.
	minReportedBackoff = 500 * time.Millisecond
	reportStep         = 500 * time.Millisecond
)

// backoff is the time for which a target wants no requests of this instance, and the return after it. The zero value is
// that of a target that never asked for any.
type backoff struct {
	// until is when the time ends, resumeAt when this instance sends the next request.
	until    time.Time
	resumeAt time.Time
	// rejections is how many requests in a row were turned away on the return.
	rejections int
	// window is how many requests may be in flight there since the end, zero for any number. It begins with one and grows
	// with each answer: a target that was in need would otherwise be met by all that waited for it.
	window int32
	// avoidUntil is until when the target wants no requests of other instances.
	avoidUntil time.Time
}

// allows reports whether a request may be sent while a number of them are in flight.
func (b *backoff) allows(now time.Time, running int32) bool {
	return !now.Before(b.resumeAt) && (b.window == 0 || running < b.window)
}

// extend records that a target wants no requests until a time. Of several times the latest holds.
func (b *backoff) extend(now, until time.Time) bool {
	until = earlier(until, now.Add(maxBackoff))
	if !until.After(b.until) || !until.After(now) {
		return false
	}
	switch {
	case b.window == 0:
		b.rejections = 0
	case !now.Before(b.until):
		b.rejections++
	}
	b.until, b.window = until, 1
	b.resumeAt = until.Add(min(maxReturnDelay, minReturnDelay<<min(b.rejections, maxDoublings)))
	return true
}

// recordOutcome widens the window after an answer, and narrows it to one request after a failure.
func (b *backoff) recordOutcome(now time.Time, o Outcome, slots int32) {
	switch {
	case b.window == 0 || now.Before(b.resumeAt):
	case o.ResponseTime == 0:
		b.window = 1
	case b.window >= slots:
		b.window = 0
	default:
		b.window++
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordBackoff records that a target has turned a request away and wants none until a time. It reports whether that is
// longer than known before.
func (p *Placer) RecordBackoff(now time.Time, t *Target, until time.Time) bool {
	t, listed := p.current(t)
	if t == nil || !t.backoff.extend(now, until) {
		return false
	}
	if !listed {
		p.departed.add(now, map[string]*Target{t.Name: t})
		return true
	}
	if !slices.ContainsFunc(p.hosts.byRegion[t.Region], func(other *Target) bool { return other.usable(now) }) {
		p.regionSplit.liftLimit(now)
	}
	return true
}

// ReportsBackoff reports whether other instances should learn until when a target wants no requests.
func (p *Placer) ReportsBackoff(now time.Time, t *Target) bool {
	b := &t.backoff
	return b.until.Sub(now) >= minReportedBackoff && b.until.Sub(b.avoidUntil) >= reportStep
}

// Package tuner adapts the number of requests of a service that this instance may run concurrently, without knowledge
// of the other instances: the limit grows slowly while requests succeed and shrinks when targets shed load.
package tuner

import "time"

const (
	// shrinkPercent is the percentage of the limit that remains after targets shed load.
	shrinkPercent = 85
	percent       = 100
	// shrinkInterval is the least time between two decreases, so that a burst of refusals counts once.
	shrinkInterval = 200 * time.Millisecond
	// scale is the number of units per request: limits are kept in thousandths of a request.
	scale = 1000
)

// Tuner holds one limit. Its zero value has no limit set; call SetBounds first. It is not safe for concurrent use.
type Tuner struct {
	limit   int64
	minimum int64
	maximum int64
	// nextShrink is the earliest time at which the limit may shrink again.
	nextShrink time.Time
}

// SetBounds sets the range of the limit, from one request to highest. share is this instance's even part of the
// service's slots, and highest adds those of other instances that it may use. The first call sets the limit to share.
func (t *Tuner) SetBounds(share, highest int) {
	t.minimum = scale
	t.maximum = int64(max(1, highest)) * scale
	if t.limit == 0 {
		t.limit = int64(max(1, share)) * scale
	}
	t.limit = min(max(t.limit, t.minimum), t.maximum)
}

// Limit returns the current limit in requests.
func (t *Tuner) Limit() int { return int(t.limit / scale) }

// RecordSuccess records a success; full says whether as many requests as the limit were running. As many such successes
// as the limit raise it by about one request; others do not change it.
func (t *Tuner) RecordSuccess(full bool) {
	if !full || t.limit == 0 {
		return
	}
	t.limit = min(t.maximum, t.limit+scale*scale/t.limit)
}

// RecordShed lowers the limit after a target shed load, at most once per shrinkInterval.
func (t *Tuner) RecordShed(now time.Time) {
	if now.Before(t.nextShrink) {
		return
	}
	t.nextShrink = now.Add(shrinkInterval)
	t.limit = max(t.minimum, t.limit*shrinkPercent/percent)
}

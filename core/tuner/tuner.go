// Package tuner finds how many requests of a service this instance may run at once, without knowing what
// the other instances do: it grows slowly while all goes well and shrinks when targets shed load.
package tuner

import "time"

const (
	// shrinkPercent is what remains after targets shed load.
	shrinkPercent = 85
	percent       = 100
	// calm is how long one shrink holds, so that a burst of refusals counts once.
	calm = 200 * time.Millisecond
	// scale keeps fractions in integers.
	scale = 1000
)

// Tuner holds one limit. Its zero value has none; call Bound.
type Tuner struct {
	limit int64
	low   int64
	high  int64
	// shrinkAt is from when the limit may shrink again.
	shrinkAt time.Time
}

// SetBounds sets the range: share is this instance's even part of all slots, most is all of them.
func (t *Tuner) SetBounds(share, most int) {
	t.low = scale
	t.high = int64(max(1, most)) * scale
	if t.limit == 0 {
		t.limit = int64(max(1, share)) * scale
	}
	t.limit = min(max(t.limit, t.low), t.high)
}

// Limit returns the limit in force.
func (t *Tuner) Limit() int { return int(t.limit / scale) }

// RecordSuccess grows the limit by about one for each time that a full set of requests went well.
func (t *Tuner) RecordSuccess(full bool) {
	if !full || t.limit == 0 {
		return
	}
	t.limit = min(t.high, t.limit+scale*scale/t.limit)
}

// RecordShed shrinks the limit after a target refused work.
func (t *Tuner) RecordShed(now time.Time) {
	if now.Before(t.shrinkAt) {
		return
	}
	t.shrinkAt = now.Add(calm)
	t.limit = max(t.low, t.limit*shrinkPercent/percent)
}

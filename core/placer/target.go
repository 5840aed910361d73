package placer

import (
	"net/netip"
	"time"

	"chervilrail.example/core/gauger"
)

const (
	// reportDecayFactor is in how many service times what a target's report said of other instances' requests loses two
	// thirds of its weight; most of those requests have ended then.
	reportDecayFactor = 1.5
	// minEjection and ejectMost bound how long a target that can't be reached is left alone; each failure in a row
	// doubles it.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxDoublings keeps the doubling from overflowing.
	maxDoublings = 5
	// coldWindow is the span in which requests to a cold target are counted.
	coldWindow = time.Second
	// outcomeWeight is the weight of the outcomeWeight outcome in a target's pace and failure rate.
	outcomeWeight = 0.2
	// estimateDecay is the time in which a bad opinion of a target loses two thirds of its weight, so that it is tried
	// again: outages and slow spells last some seconds.
	estimateDecay = 4 * time.Second
	// minTimeRatio and maxPace bound how much one outcome can say of a target's pace.
	minTimeRatio = 0.5
	maxTimeRatio = 16
	// coldTimeRatio is how much slower a target works that has just started, until it has shown its own pace.
	coldTimeRatio = 2
)

// Spec is what the control state says of a target.
type Spec struct {
	Name        string
	Incarnation uint64
	Address     netip.AddrPort
	Region      string
	Zone        string
	Slots       int32
	// OwnSlots is how many of its slots belong to this entry instance.
	OwnSlots int32
	// ColdUntil is the end of the target's cold time; Rate is how many requests a second this entry instance may
	// send it until then.
	ColdUntil time.Time
	Rate      float64
}

// Target is one target with what this entry instance knows of it. Only its Placer changes it.
type Target struct {
	Spec

	running int32
	// others is how many requests of other instances it held at othersAt.
	others   float64
	othersAt time.Time
	// sharedLoad is its load in requests per slot, as all instances of the region saw it at toldAt.
	sharedLoad   float64
	sharedLoadAt time.Time
	// pendingSlots are the slots that objects need which were placed here lately and may not show in the load yet.
	pendingSlots float64
	pendingAt    time.Time
	// timeRatio is its service time over the usual one, bad its part of failures, as of opinionAt.
	timeRatio   float64
	failureRate float64
	estimatesAt time.Time
	// failures are those in a row to reach it.
	failures     int
	ejectedUntil time.Time
	// coldSends are the latest sends while it was cold.
	coldSends []time.Time
	// joinedAt is when it came beside others, zero if it was there at first.
	joinedAt time.Time
}

const (
	// sharedLoadTTL is how long a load holds that is not told again.
	sharedLoadTTL = 5 * time.Second
	// pendingDecay is the time in which objects that were placed at a target show in the load that is told.
	pendingDecay = 2 * time.Second
)

// recentLoad is the target's load as told lately, false if there is none.
func (t *Target) recentLoad(now time.Time) (float64, bool) {
	return t.sharedLoad, now.Sub(t.sharedLoadAt) < sharedLoadTTL
}

// addPending notes that an object was placed here which needs so many slots.
func (t *Target) addPending(now time.Time, slots float64) {
	t.pendingSlots = t.pendingSlots*gauger.Fade(now.Sub(t.pendingAt), pendingDecay) + slots
	t.pendingAt = now
}

// expectedLoad is the load with what was placed here lately. A target that nothing is told of has none.
func (t *Target) expectedLoad(now time.Time) float64 {
	pending := t.pendingSlots * gauger.Fade(now.Sub(t.pendingAt), pendingDecay) / max(1, float64(t.Slots))
	if load, ok := t.recentLoad(now); ok {
		return load + pending
	}
	return pending
}

func newTarget() *Target { return &Target{timeRatio: 1} }

// downAfter is how many failures in a row to reach a target show that it is down. One is often a lost connection only, and
// objects that leave for it run cold elsewhere.
const downAfter = 2

// readyAt is from when on the target can keep objects warm, zero if it could from the start.
func (t *Target) readyAt() time.Time {
	if t.ColdUntil.After(t.joinedAt) {
		return t.ColdUntil
	}
	return t.joinedAt
}

// down reports whether the target's objects have to go elsewhere: it can't be reached, or has lost what it kept warm.
func (t *Target) down(now time.Time) bool {
	return now.Before(t.ColdUntil) || t.failures >= downAfter && now.Before(t.ejectedUntil)
}

// usable reports whether the target may be sent to at all now.
func (t *Target) usable(now time.Time) bool {
	if now.Before(t.ejectedUntil) {
		return false
	}
	if !now.Before(t.ColdUntil) {
		return true
	}
	// A cold target crashes when it gets much more than its rate.
	return t.OwnSlots > 0 && float64(len(t.recentSends(now)))+1 <= t.Rate
}

func (t *Target) recentSends(now time.Time) []time.Time {
	for len(t.coldSends) > 0 && now.Sub(t.coldSends[0]) >= coldWindow {
		t.coldSends = t.coldSends[1:]
	}
	return t.coldSends
}

// slowdown is how many times longer than usual the target is expected to take, failures counted as time lost.
func (t *Target) slowdown(now time.Time) float64 {
	weight := gauger.Fade(now.Sub(t.estimatesAt), estimateDecay)
	timeRatio := 1 + (t.timeRatio-1)*weight
	if now.Before(t.ColdUntil) {
		timeRatio = max(timeRatio, coldTimeRatio)
	}
	return timeRatio * (1 + failureCost*t.failureRate*weight)
}

// failureCost is what a failure costs, in service times: the time until it shows, another attempt elsewhere, and that a
// request that must not repeat gets no other.
const failureCost = 5

func (t *Target) start(now time.Time) {
	t.running++
	if now.Before(t.ColdUntil) {
		t.coldSends = append(t.recentSends(now), now)
	}
}

func (t *Target) end(now time.Time, o Outcome) {
	if o.Load != nil {
		t.others = float64(max(0, o.Load.Running+o.Load.Waiting-t.running))
		t.othersAt = now
	}
	t.running--
	failed := 0.0
	if o.Failed {
		failed = 1
	}
	t.decayEstimates(now)
	t.failureRate += outcomeWeight * (failed - t.failureRate)
	if o.ResponseTime > 0 && o.ExpectedTime > 0 {
		timeRatio := min(maxTimeRatio, max(minTimeRatio, float64(o.ResponseTime)/float64(o.ExpectedTime)))
		t.timeRatio += outcomeWeight * (timeRatio - t.timeRatio)
	}
	switch {
	case o.Unreachable:
		t.failures++
		t.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(t.failures-1, maxDoublings)))
	case !o.Failed:
		t.failures = 0
	}
}

// decayEstimates lets the opinion fade to this moment, so that newer outcomes add to what is left of it.
func (t *Target) decayEstimates(now time.Time) {
	weight := gauger.Fade(now.Sub(t.estimatesAt), estimateDecay)
	t.timeRatio = 1 + (t.timeRatio-1)*weight
	t.failureRate *= weight
	t.estimatesAt = now
}

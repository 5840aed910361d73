package placer

import (
	"net/netip"
	"time"

	"chervilrail.example/core/gauger"
)

const (
	// reportDecayFactor is the number of service times in which a target's report of other instances' requests loses
	// almost two thirds of its weight; most of those requests have ended by then.
	reportDecayFactor = 1.5
	// minEjection and maxEjection bound how long a target that can't be reached gets no requests; each consecutive
	// failure doubles the time.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxDoublings keeps the doubling from overflowing.
	maxDoublings = 5
	// coldWindow is the span over which requests to a cold target are counted.
	coldWindow = time.Second
	// outcomeWeight is the weight of the newest outcome in a target's time ratio and failure rate.
	outcomeWeight = 0.2
	// estimateDecay is the time in which a bad estimate of a target loses almost two thirds of its weight, so that the
	// target is tried again: outages and slow periods last some seconds.
	estimateDecay = 4 * time.Second
	// minTimeRatio and maxTimeRatio bound the effect of one outcome on a target's time ratio.
	minTimeRatio = 0.5
	maxTimeRatio = 16
	// coldTimeRatio is the least time ratio assumed for a target before its ColdUntil: a target that has just started
	// is slower until it has shown its own speed.
	coldTimeRatio = 2
)

// Spec is a target's entry in the control state.
type Spec struct {
	Name        string
	Incarnation uint64
	Address     netip.AddrPort
	Region      string
	Zone        string
	Slots       int32
	// OwnSlots is how many of its slots belong to this entry instance.
	OwnSlots int32
	// ColdUntil is the end of the target's cold period; Rate is how many requests per second this entry instance may
	// send it until then.
	ColdUntil time.Time
	Rate      float64
	// Limit is the target's own limit, as known to the controllers.
	Limit RateLimit
}

// Target is one target with its state as seen by this entry instance. Only its Placer changes it.
type Target struct {
	Spec

	running int32
	// others is how many requests of other instances were there at othersAt.
	others   float64
	othersAt time.Time
	// sharedLoad is its load in requests per slot, as measured by all instances of the region, received at
	// sharedLoadAt.
	sharedLoad   float64
	sharedLoadAt time.Time
	// pendingSlots are the slots needed by objects that were assigned to it recently and may not show in the load yet,
	// as of pendingAt.
	pendingSlots float64
	pendingAt    time.Time
	// timeRatio is its service time over the expected one, failureRate the fraction of its requests that failed, both
	// smoothed and as of estimatesAt.
	timeRatio   float64
	failureRate float64
	estimatesAt time.Time
	// failures is the number of consecutive failures to reach it.
	failures     int
	ejectedUntil time.Time
	// coldSends are the times of the latest requests sent to it during its cold period.
	coldSends []time.Time
	// joinedAt is when it joined the other targets, zero if it was there from the start.
	joinedAt  time.Time
	allowance allowance
	backoff   backoff
	// leaving is set once it has said in an answer that it leaves, which is final for an incarnation.
	leaving bool
}

const (
	// sharedLoadTTL is how long a shared load holds without an update.
	sharedLoadTTL = 5 * time.Second
	// pendingDecay is the time in which objects assigned to a target show in its shared load; the pending slots lose
	// almost two thirds of their weight in it.
	pendingDecay = 2 * time.Second
)

// recentLoad is the target's shared load, false if there was no update recently.
func (t *Target) recentLoad(now time.Time) (float64, bool) {
	return t.sharedLoad, now.Sub(t.sharedLoadAt) < sharedLoadTTL
}

// addPending records that an object was assigned to the target which needs so many slots.
func (t *Target) addPending(now time.Time, slots float64) {
	t.pendingSlots = t.pendingSlots*gauger.Decay(now.Sub(t.pendingAt), pendingDecay) + slots
	t.pendingAt = now
}

// expectedLoad is the shared load plus the pending slots, in requests per slot. Without a recent shared load only the
// pending slots count.
func (t *Target) expectedLoad(now time.Time) float64 {
	pending := t.pendingSlots * gauger.Decay(now.Sub(t.pendingAt), pendingDecay) / max(1, float64(t.Slots))
	if load, ok := t.recentLoad(now); ok {
		return load + pending
	}
	return pending
}

func newTarget() *Target { return &Target{timeRatio: 1} }

// downAfter is how many consecutive failures to reach a target mark it as down. A single one is often only a lost
// connection, and objects that leave because of it run cold elsewhere.
const downAfter = 2

// recentSends returns the times of the requests sent within coldWindow, and drops the older ones.
func (t *Target) recentSends(now time.Time) []time.Time {
	for len(t.coldSends) > 0 && now.Sub(t.coldSends[0]) >= coldWindow {
		t.coldSends = t.coldSends[1:]
	}
	return t.coldSends
}

// slowdown is the factor by which the target is expected to take longer than usual, with failures counted as lost time.
func (t *Target) slowdown(now time.Time) float64 {
	weight := gauger.Decay(now.Sub(t.estimatesAt), estimateDecay)
	timeRatio := 1 + (t.timeRatio-1)*weight
	if now.Before(t.ColdUntil) {
		timeRatio = max(timeRatio, coldTimeRatio)
	}
	return timeRatio * (1 + failureCost*t.failureRate*weight)
}

// failureCost is the cost of a failure in service times: the time until it shows, another attempt elsewhere, and that a
// request that must not be repeated gets no other attempt.
const failureCost = 5

// start counts a request that is sent to the target.
func (t *Target) start(now time.Time) {
	t.running++
	t.allowance.spend(now)
	if now.Before(t.ColdUntil) {
		t.coldSends = append(t.recentSends(now), now)
	}
}

// end records the outcome of a request at the target.
func (t *Target) end(now time.Time, o Outcome) {
	if o.Load != nil {
		t.others = float64(max(0, o.Load.Running+o.Load.Waiting-t.running))
		t.othersAt = now
	}
	t.running--
	if o.Withheld {
		return
	}
	t.backoff.recordOutcome(now, o, t.Slots)
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

// decayEstimates applies the decay up to now, so that newer outcomes add to what is left of the estimates.
func (t *Target) decayEstimates(now time.Time) {
	weight := gauger.Decay(now.Sub(t.estimatesAt), estimateDecay)
	t.timeRatio = 1 + (t.timeRatio-1)*weight
	t.failureRate *= weight
	t.estimatesAt = now
}

package placer

import (
	"net/netip"
	"time"

	"chervilrail.example/core/messenger"
)

const (
	// reportLife is how long a target's report of its load counts: about two of the shortest service times.
	reportLife = 600 * time.Millisecond
	// ejectFirst and ejectMost bound how long a target that failed is left alone; each failure in a row doubles it.
	ejectFirst = 250 * time.Millisecond
	ejectMost  = 4 * time.Second
	// coldWindow is the span in which requests to a cold target are counted.
	coldWindow = time.Second
	// badWeight is the weight of the newest outcome in a target's failure rate; a rate above badRate marks a
	// target that fails part of its requests though it looks healthy.
	badWeight = 0.15
	badRate   = 0.35
)

// Spec is what the control state says of a target.
type Spec struct {
	Name        string
	Incarnation uint64
	Address     netip.AddrPort
	Region      string
	Zone        string
	Slots       int32
	// Own is how many of its slots belong to this entry instance.
	Own int32
	// ColdUntil is the end of the target's cold time; Rate is how many requests a second this entry instance may
	// send it until then.
	ColdUntil time.Time
	Rate      float64
}

// Target is one target with what this entry instance knows of it. Only its Placer changes it.
type Target struct {
	Spec

	running    int32
	report     messenger.Load
	reportAt   time.Time
	sinceThen  int32
	failures   int
	ejectUntil time.Time
	bad        float64
	sent       []time.Time
	gone       bool
}

// free reports whether the target may get one more request of this entry instance now.
func (t *Target) free(now time.Time) bool {
	if now.Before(t.ejectUntil) || !t.coldAllows(now) {
		return false
	}
	return t.running < t.Own
}

// borrowable reports whether a slot that belongs to another entry instance seems to be idle.
func (t *Target) borrowable(now time.Time) bool {
	if now.Before(t.ejectUntil) || now.Before(t.ColdUntil) || t.running > t.Own {
		return false
	}
	if now.Sub(t.reportAt) > reportLife {
		return false
	}
	return t.report.Running+t.report.Waiting+t.sinceThen < t.Slots
}

// coldAllows keeps a cold target under its rate: it crashes when it gets much more.
func (t *Target) coldAllows(now time.Time) bool {
	if !now.Before(t.ColdUntil) {
		return true
	}
	return float64(len(t.recent(now)))+1 <= t.Rate
}

func (t *Target) recent(now time.Time) []time.Time {
	for len(t.sent) > 0 && now.Sub(t.sent[0]) >= coldWindow {
		t.sent = t.sent[1:]
	}
	return t.sent
}

func (t *Target) start(now time.Time) {
	t.running++
	t.sinceThen++
	if now.Before(t.ColdUntil) {
		t.sent = append(t.recent(now), now)
	}
}

func (t *Target) end(now time.Time, o Outcome) {
	t.running--
	if o.Load != nil {
		t.report, t.reportAt, t.sinceThen = *o.Load, now, 0
	}
	failed := 0.0
	if o.Failed {
		failed = 1
	}
	t.bad += badWeight * (failed - t.bad)
	switch {
	case o.Unreachable:
		t.failures++
		t.ejectUntil = now.Add(min(ejectMost, ejectFirst<<min(t.failures-1, maxDoublings)))
	case !o.Failed:
		t.failures = 0
	}
}

const maxDoublings = 5

package soaker

import (
	"context"
	"strings"
	"time"

	"chervilrail.example/platform/speaker"
	"chervilrail.example/standin/internal/verifier"
)

const (
	// allRejectTime is how long all targets turn requests away at once, allRejectAsks what they ask for.
	allRejectTime = 300 * time.Millisecond
	allRejectAsks = "0.7"
	// soakLimit is the limit that targets name, in requests per second.
	soakLimit = "2"
	// leaveTime is how long a target that says that it leaves goes on serving before it is gone.
	leaveTime = 4 * time.Second
)

// asked are the times for which targets want no requests.
var asked = []string{"3", "0.2", "1", "8"}

// lossTime is how long after a fault of a target's link an answer may still be lost: connections that have gone silent are
// used until a request on them has failed at its deadline.
const lossTime = 2500 * time.Millisecond

// callerAddress returns the address under which callers reach entry instance i.
func (s *Soak) callerAddress(i int) string {
	return strings.TrimPrefix(s.system.CallerURL(i), "http://")
}

// disturb begins a disturbance of entry instance i, and returns a function that ends it.
func (s *Soak) disturb(i int) (end func()) { return s.disturbances.begin(s.callerAddress(i)) }

// injectStatement has a target, or all of them, say something in their answers.
func (s *Soak) injectStatement(ctx context.Context, f fault) {
	switch f.kind {
	case targetReject:
		t := s.pickTarget(f.index, false)
		t.Reject(asked[f.index%len(asked)])
		time.Sleep(f.duration)
		t.Accept()
	case targetsRejectAll:
		for _, t := range s.allTargets() {
			if t.Service == service {
				t.Reject(allRejectAsks)
				defer t.Accept()
			}
		}
		time.Sleep(allRejectTime)
	case targetLimit:
		t := s.pickTarget(f.index, false)
		t.SetLimit(soakLimit)
		time.Sleep(f.duration + limitHold)
		t.SetLimit("")
	default:
		s.leaveByAnswers(ctx, f)
	}
}

// leaveByAnswers makes a target say in its answers that it leaves, and starts another one in its place. Some such targets
// announce their leave later, the others end without a word.
func (s *Soak) leaveByAnswers(ctx context.Context, f fault) {
	t := s.pickTarget(f.index, true)
	s.checkStarted("target", s.startTarget(service))
	t.SetLeaving(true)
	time.Sleep(leaveTime)
	if f.index%2 == 0 {
		leaveCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
		defer cancel()
		if ackedAt, err := t.Leave(leaveCtx); err == nil {
			s.checker.recordDeparture(t.Target, ackedAt)
		}
		return
	}
	s.killTarget(t)
}

// checkStatements checks that entry instances did as targets asked in their answers.
func (s *Soak) checkStatements(answers []speaker.Answer) {
	seen := &verifier.Observations{Excused: s.disturbances.between, Lost: func(target string, at time.Time) bool {
		return s.linkFaults.between(target, at.Add(-lossTime), at.Add(targetWork))
	}}
	for _, a := range answers {
		seen.AddAnswer(a)
	}
	for _, t := range s.allTargets() {
		seen.AddTarget(t.Target)
	}
	for _, check := range []func() []string{seen.Backoffs, seen.Leaves, seen.Limits} {
		for _, line := range check() {
			s.checker.fail("%s", line)
		}
	}
}

package soaker

import (
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"chervilrail.example/platform/speaker"
)

const (
	// limitSlack is how long before its limit a request counts as having reached it.
	limitSlack = 50 * time.Millisecond
	// earlyTime is how long after SIGTERM a request may be sent that may be broken off in the last part of the grace period,
	// the one after lateShare of it.
	earlyTime = 3 * time.Second
	lateShare = 5.0 / 6
	// refusalLimit is how long after its last byte a request to a leaving instance may wait for its refusal.
	refusalLimit = 500 * time.Millisecond
)

// workRun is the run of a request at a target.
type workRun struct {
	target   string
	from, to time.Time
}

// workRuns returns the runs of each attempt that takes long.
func (s *Soak) workRuns() map[string][]workRun {
	out := map[string][]workRun{}
	for _, t := range s.allTargets() {
		if t.Service != workService {
			continue
		}
		for _, r := range t.Starts() {
			out[r.ID] = append(out[r.ID], workRun{t.ID, r.At, r.At.Add(r.Work)})
		}
	}
	return out
}

// checkAttempts checks that planned stops broke off no request that takes long, and refused at once what they refused.
func (s *Soak) checkAttempts(runs map[string][]workRun, plans map[string][]planEvent) {
	var stops, besides, refused []string
	for _, a := range s.attempts.list {
		at, leaving := s.stops.last(a.Instance, a.EndedAt.Add(-s.workload.grace-stopTail), a.EndedAt)
		if s.refusedLate(a) {
			refused = append(refused, describeAttempt(a, at, nil))
		}
		if !brokenOff(a, runs[a.ID]) || s.overdueAttempt(a, plans[a.Instance]) || s.excusedAttempt(a, runs[a.ID]) {
			continue
		}
		switch {
		case leaving && !s.atWorkLate(a, at, runs[a.ID]):
			stops = append(stops, describeAttempt(a, at, runs[a.ID]))
		case !leaving && a.Status == 0:
			besides = append(besides, describeAttempt(a, a.SentAt, runs[a.ID]))
		}
	}
	s.report("stops under long work", stops, 0)
	s.report("no stop under long work", besides, maxLosses)
	s.report("late refusals", refused, 0)
}

// brokenOff reports whether a request ran and has no whole answer, or an answer of the instance's own in place of its
// target's; or whether it did not run, was read and has no answer.
func brokenOff(a *speaker.Attempt, runs []workRun) bool {
	if len(runs) == 0 {
		return a.Status == 0 && a.Sent && a.EndedAt.Sub(a.LastByteAt) > lossSlack
	}
	return !a.Whole() || a.Status >= http.StatusInternalServerError && a.Signature == ""
}

// overdueAttempt reports whether a request reached its limit or its deadline. The limit is the shortest of those in force at
// its instance around its arrival.
func (s *Soak) overdueAttempt(a *speaker.Attempt, plans []planEvent) bool {
	limit := a.Deadline
	for i, e := range plans {
		replaced := i+1 < len(plans) && plans[i+1].at.Before(a.SentAt)
		if !e.start && !replaced && !e.at.After(a.SentAt.Add(arrivalTime)) {
			limit = min(limit, s.workload.limit(routeOf(a), e.version))
		}
	}
	return a.Took() >= limit-limitSlack
}

// excusedAttempt reports whether an unplanned fault of its instance, its target or the link between them explains that a
// request has no answer.
func (s *Soak) excusedAttempt(a *speaker.Attempt, runs []workRun) bool {
	if s.unplanned.between(a.Instance, a.SentAt.Add(-contactTime), a.EndedAt) {
		return true
	}
	from := a.SentAt.Add(-arrivalTime)
	for _, r := range runs {
		if s.targetKills.between(r.target, from, a.EndedAt) || s.linkFaults.between(r.target, from, a.EndedAt) {
			return true
		}
	}
	return false
}

// atWorkLate reports whether a request was sent before a stop or soon after, and was at work and ended in the last part of the
// grace period.
func (s *Soak) atWorkLate(a *speaker.Attempt, stoppedAt time.Time, runs []workRun) bool {
	late := stoppedAt.Add(part(s.workload.grace, lateShare))
	if a.SentAt.After(stoppedAt.Add(earlyTime)) || a.EndedAt.Before(late) {
		return false
	}
	for _, r := range runs {
		if r.to.After(late) {
			return true
		}
	}
	return false
}

// refusedLate reports whether a request that was sent to an instance that had begun to leave waited for its refusal, and
// neither a fault of the instance nor a stall of the machine explains it.
func (s *Soak) refusedLate(a *speaker.Attempt) bool {
	return a.Status == http.StatusServiceUnavailable && s.stopping.between(a.Instance, a.SentAt, a.SentAt) &&
		a.EndedAt.Sub(a.LastByteAt) > refusalLimit &&
		!s.unplanned.between(a.Instance, a.SentAt.Add(-contactTime), a.EndedAt) &&
		!s.stalls.between(machine, a.LastByteAt, a.EndedAt)
}

// instancePlans returns the events of the logs of all entry instances, by their addresses for callers.
func (s *Soak) instancePlans() map[string][]planEvent {
	out := map[string][]planEvent{}
	for i, p := range s.system.Entries {
		events, err := readPlans(filepath.Join(s.Folder, p.Name+".log"))
		if err != nil {
			s.checker.fail("log of %s: %v", p.Name, err)
		}
		out[s.callerAddress(i)] = events
	}
	return out
}

// describeAttempt returns a line on a request around a time.
func describeAttempt(a *speaker.Attempt, at time.Time, runs []workRun) string {
	since := func(t time.Time) time.Duration { return t.Sub(at).Round(time.Millisecond) }
	line := fmt.Sprintf("%s of %s, %s, deadline %s, %d parts with pause %s: since %s sent %s, last byte %s, ended %s with status %d (%v)",
		a.ID, a.Instance, a.Path, a.Deadline, max(a.Parts, 1), a.Pause, at.Format(time.TimeOnly+".000"), since(a.SentAt),
		since(a.LastByteAt), since(a.EndedAt), a.Status, a.Err)
	for _, r := range runs {
		line += fmt.Sprintf(", ran at %s from %s to %s", r.target, since(r.from), since(r.to))
	}
	return line
}

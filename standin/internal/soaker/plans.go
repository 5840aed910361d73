package soaker

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// changeLimit is the time within which an accepted change has to be in force.
const changeLimit = 2500 * time.Millisecond

// Lines of an entry instance's log: the start of a process, and a plan that comes into force.
var (
	startLine = regexp.MustCompile(`ts=(\S+) .*msg=starting `)
	planLine  = regexp.MustCompile(`ts=(\S+) .*msg="plan in force" version=(\d+)`)
)

// planEvent is a line of an entry instance's log: the start of a process, or a version that comes into force.
type planEvent struct {
	at      time.Time
	version int
	start   bool
}

// readPlans returns the events of a log in their order.
func readPlans(path string) ([]planEvent, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var out []planEvent
	for line := range strings.Lines(string(data)) {
		e, present, err := readPlan(line)
		if err != nil {
			return nil, err
		}
		if present {
			out = append(out, e)
		}
	}
	return out, nil
}

// readPlan returns the event of a line of a log, and whether there is one.
func readPlan(line string) (planEvent, bool, error) {
	if m := startLine.FindStringSubmatch(line); m != nil {
		at, err := time.Parse(time.RFC3339Nano, m[1])
		return planEvent{at: at, start: true}, true, err
	}
	m := planLine.FindStringSubmatch(line)
	if m == nil {
		return planEvent{}, false, nil
	}
	at, timeErr := time.Parse(time.RFC3339Nano, m[1])
	version, versionErr := strconv.Atoi(m[2])
	return planEvent{at: at, version: version}, true, errors.Join(timeErr, versionErr)
}

// checkPlans checks by its log by which plans an entry instance has worked.
func (s *Soak) checkPlans(i int) {
	name := s.system.Entries[i].Name
	events, err := readPlans(filepath.Join(s.Folder, name+".log"))
	if err != nil || len(events) == 0 {
		s.checker.fail("log of %s: %d plans and starts, %v", name, len(events), err)
		return
	}
	s.checker.checkFirstPlans(name, events)
	s.checker.checkPlanLags(name, events, func(from, to time.Time) bool {
		return s.disturbances.between(s.callerAddress(i), from, to) || s.controllerFaults.between(anyController, from, to)
	})
}

// checkFirstPlans checks that no process of an entry instance has begun by a plan that is older than one accepted
// changeLimit before.
func (w *checker) checkFirstPlans(name string, events []planEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := false
	for _, e := range events {
		if e.start || !first {
			first = e.start
			continue
		}
		first = false
		for _, a := range w.accepted {
			if a.version > e.version && e.at.Sub(a.at) > changeLimit {
				w.note("%s begins by version %d %s after %d was accepted", name, e.version, e.at.Sub(a.at), a.version)
				break
			}
		}
	}
}

// checkPlanLags checks that every accepted version, or a newer one, was in force at an entry instance within changeLimit.
// Versions are left out if the instance or a controller was disturbed between changeLimit before and after.
func (w *checker) checkPlanLags(name string, events []planEvent, excused func(from, to time.Time) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.accepted {
		deadline := a.at.Add(changeLimit)
		if time.Now().Before(deadline) || excused(a.at.Add(-changeLimit), deadline) {
			continue
		}
		w.lagsChecked++
		inForce := slices.ContainsFunc(events, func(e planEvent) bool {
			return !e.start && e.version >= a.version && !e.at.After(deadline)
		})
		if !inForce {
			w.note("%s does not work by version %d within %s of its acceptance at %s", name, a.version, changeLimit,
				a.at.Format(time.RFC3339Nano))
			return
		}
	}
}

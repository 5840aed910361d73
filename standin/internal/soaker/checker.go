package soaker

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"chervilrail.example/platform/speaker"
)

const (
	// maxViolations bounds what is reported of one run.
	maxViolations = 20
	// drainLimit is how long after its acknowledgement a leaving target may still get requests, and drainSlack what the
	// machine that plays all of them may add.
	drainLimit = 2500 * time.Millisecond
	drainSlack = 300 * time.Millisecond
)

// checker collects what is seen from outside and which promises that breaks.
type checker struct {
	mu         sync.Mutex
	violations []string
	// notRun are the attempts that were told that they have not run, with the status; once those that must not repeat.
	notRun        map[string]int
	nonRepeatable map[string]bool
	sent          int
	whole         int
	ackedVersion  int
	departures    []departure
}

// departure is a target whose leaving was acknowledged.
type departure struct {
	target  *speaker.Target
	ackedAt time.Time
	exempt  bool
}

func (w *checker) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failLocked(format, args...)
}

func (w *checker) failLocked(format string, args ...any) {
	if len(w.violations) < maxViolations {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

// checkAnswer checks one answer by itself.
func (w *checker) checkAnswer(a speaker.Answer, method, path string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nonRepeatable == nil {
		w.nonRepeatable, w.notRun = map[string]bool{}, map[string]int{}
	}
	w.sent++
	if method == http.MethodPost {
		w.nonRepeatable[a.ID] = true
	}
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		w.notRun[a.ID] = a.Status
	case http.StatusNotFound, http.StatusBadRequest:
		w.failLocked("%s was denied with %d", a.ID, a.Status)
	case http.StatusOK:
		if a.Err == nil && !a.Whole {
			w.failLocked("%s got a success that no target signed", a.ID)
		}
	}
	if !a.Whole {
		return
	}
	w.whole++
	if !strings.Contains(a.Body, " "+method+" "+path+" ") {
		w.failLocked("%s asked for %s %s and got %q", a.ID, method, path, a.Body)
	}
}

func (w *checker) recordAccepted(version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ackedVersion = max(w.ackedVersion, version)
}

func (w *checker) newestAccepted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ackedVersion
}

// failRefused notes a change that was failRefused though it builds on the newest and was the only one.
func (w *checker) failRefused(version, status int) {
	w.fail("change %d was refused with %d", version, status)
}

// checkRead checks a plan that was checkRead after a version had been acknowledged.
func (w *checker) checkRead(minVersion int, version string) {
	if version == "" {
		return // a controller may say that it can't be sure
	}
	n, err := strconv.Atoi(strings.TrimPrefix(version, "r"))
	if err != nil || n < minVersion {
		w.fail("read %q after %d was acknowledged", version, minVersion)
	}
}

func (w *checker) recordDeparture(t *speaker.Target, ackedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.departures = append(w.departures, departure{target: t, ackedAt: ackedAt})
}

// recordFreeze notes that an entry instance stands still: what it had in hand may reach targets that have just left.
func (w *checker) recordFreeze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.departures {
		if time.Since(w.departures[i].ackedAt) < 2*drainLimit {
			w.departures[i].exempt = true
		}
	}
}

// checkEnd checks what can be known only at the end.
func (s *Soak) checkEnd(ctx context.Context) {
	w := &s.checker
	runs := map[string]int{}
	for _, t := range s.allTargets() {
		for id, n := range t.Runs() {
			runs[id] += n
		}
	}
	w.mu.Lock()
	for id := range w.nonRepeatable {
		if runs[id] > 1 {
			w.failLocked("%s must not repeat and ran %d times", id, runs[id])
		}
	}
	for id, status := range w.notRun {
		if runs[id] > 0 {
			w.failLocked("%s was told %d, not run, and has run", id, status)
		}
	}
	for _, d := range w.departures {
		late := d.target.Last().Sub(d.ackedAt)
		if late > drainLimit+drainSlack && !d.exempt {
			w.failLocked("%s got a request %s after its leaving was acknowledged", d.target.ID, late)
		}
	}
	if w.whole < w.sent/2 {
		w.failLocked("only %d of %d requests were served", w.whole, w.sent)
	}
	minVersion := w.ackedVersion
	w.mu.Unlock()
	deadline := time.Now().Add(recoveryTimeout)
	operator := s.operator()
	version := operator.Version(ctx)
	for ; version == "" && time.Now().Before(deadline); version = operator.Version(ctx) {
		time.Sleep(10 * callerPause)
	}
	if version == "" {
		w.fail("the plan can't be read %s after the last fault", recoveryTimeout)
	}
	w.checkRead(minVersion, version)
}

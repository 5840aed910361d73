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
	// maxViolations is the maximum number of violations reported for one run.
	maxViolations = 20
	// A leaving target may receive requests for drainLimit after the acknowledgement of its departure; drainSlack
	// allows for delays because all processes run on one machine.
	drainLimit = 2500 * time.Millisecond
	drainSlack = 300 * time.Millisecond
)

// checker collects what callers, targets and the operator observe, and the violations of guarantees.
type checker struct {
	mu         sync.Mutex
	violations []string
	// notRun contains the attempts answered with a status that means not run, by ID; nonRepeatable the attempts that
	// must not run twice.
	notRun        map[string]int
	nonRepeatable map[string]bool
	sent          int
	complete      int
	answers       []speaker.Answer
	// acked is the newest version of the plan whose change was acknowledged.
	acked int
	// accepted lists the accepted versions, oldest first.
	accepted   []acceptance
	departures []departure
	// lagsChecked counts the pairs of an accepted version and an entry instance that were checked.
	lagsChecked int
}

// acceptance is a version of the plan whose change was acknowledged at a time.
type acceptance struct {
	version int
	at      time.Time
}

// departure is a target whose departure was acknowledged. An exempt departure is not checked for late requests.
type departure struct {
	target  *speaker.Target
	ackedAt time.Time
	exempt  bool
}

// fail records a violation.
func (w *checker) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(format, args...)
}

// note records a violation while the caller holds mu.
func (w *checker) note(format string, args ...any) {
	if len(w.violations) < maxViolations {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

// checkAnswer checks an answer on its own and records it for checkEnd.
func (w *checker) checkAnswer(a speaker.Answer, method, path string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	kept := a
	kept.Body = ""
	w.answers = append(w.answers, kept)
	w.recordPromise(a, method == http.MethodPost)
	if a.Status == http.StatusOK && a.Err == nil && !a.Complete {
		w.note("%s received status 200 without the signature of a target", a.ID)
	}
	if !a.Complete {
		return
	}
	w.complete++
	if !strings.Contains(a.Body, " "+method+" "+path+" ") {
		w.note("%s requested %s %s and received %.200q", a.ID, method, path, a.Body)
	}
	if !strings.HasSuffix(a.Signature, "."+a.ID) {
		w.note("%s received the answer with the signature %q", a.ID, a.Signature)
	}
}

// recordPromise records whether a request may run again and whether its answer says that it did not run, while the caller
// holds mu.
func (w *checker) recordPromise(a speaker.Answer, once bool) {
	if w.nonRepeatable == nil {
		w.nonRepeatable, w.notRun = map[string]bool{}, map[string]int{}
	}
	if once {
		w.nonRepeatable[a.ID] = true
	}
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		w.notRun[a.ID] = a.Status
	case http.StatusNotFound, http.StatusBadRequest:
		w.note("%s was denied with %d", a.ID, a.Status)
	}
}

func (w *checker) recordAccepted(version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acked = max(w.acked, version)
	w.accepted = append(w.accepted, acceptance{version, time.Now()})
}

func (w *checker) newestAccepted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acked
}

// failRefused records a change that was refused although it builds on the newest version and was the only one.
func (w *checker) failRefused(version, status int) {
	w.fail("change %d was refused with %d", version, status)
}

// checkRead checks a version that was read after floor had been acknowledged.
func (w *checker) checkRead(floor int, version string) {
	if version == "" {
		return // a controller may answer that it cannot confirm the version
	}
	n, err := strconv.Atoi(strings.TrimPrefix(version, "r"))
	if err != nil || n < floor {
		w.fail("read %q after %d was acknowledged", version, floor)
	}
}

func (w *checker) recordDeparture(t *speaker.Target, ackedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.departures = append(w.departures, departure{target: t, ackedAt: ackedAt})
}

// recordFreeze exempts recent departures, because the requests in flight of a frozen entry instance may reach targets
// late.
func (w *checker) recordFreeze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.departures {
		if time.Since(w.departures[i].ackedAt) < 2*drainLimit {
			w.departures[i].exempt = true
		}
	}
}

// checkEnd checks the guarantees that can only be checked after the run.
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
			w.note("%s is not repeatable and ran %d times", id, runs[id])
		}
	}
	for id, status := range w.notRun {
		if runs[id] > 0 {
			w.note("%s was answered with %d (not run) but has run", id, status)
		}
	}
	for _, d := range w.departures {
		late := d.target.LastRequest().Sub(d.ackedAt)
		if late > drainLimit+drainSlack && !d.exempt {
			w.note("%s received a request %s after its departure was acknowledged", d.target.ID, late)
		}
	}
	if w.complete < w.sent/2 {
		w.note("only %d of %d requests were served", w.complete, w.sent)
	}
	floor := w.acked
	w.mu.Unlock()
	deadline := time.Now().Add(recoveryTimeout)
	operator := s.operator()
	version := operator.Version(ctx)
	for ; version == "" && time.Now().Before(deadline); version = operator.Version(ctx) {
		time.Sleep(10 * callerPause)
	}
	if version == "" {
		w.fail("plan not readable within %s of the last fault", recoveryTimeout)
	}
	w.checkRead(floor, version)
}

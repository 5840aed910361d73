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
	// maxBroken bounds what is reported of one run.
	maxBroken = 20
	// drainTime is how long after its acknowledgement a leaving target may still get requests, and drainSlack what the
	// machine that plays all of them may add.
	drainTime  = 2500 * time.Millisecond
	drainSlack = 300 * time.Millisecond
)

// witness collects what is seen from outside and which promises that breaks.
type witness struct {
	mu     sync.Mutex
	broken []string
	// promised are the attempts that were told that they have not run, with the status; once those that must not repeat.
	promised map[string]int
	once     map[string]bool
	asked    int
	whole    int
	acked    int
	left     []departure
}

// departure is a target whose leaving was acknowledged.
type departure struct {
	target *speaker.Target
	at     time.Time
	excuse bool
}

func (w *witness) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(format, args...)
}

func (w *witness) note(format string, args ...any) {
	if len(w.broken) < maxBroken {
		w.broken = append(w.broken, fmt.Sprintf(format, args...))
	}
}

// answered checks one answer by itself.
func (w *witness) answered(a speaker.Answer, method, path string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.once == nil {
		w.once, w.promised = map[string]bool{}, map[string]int{}
	}
	w.asked++
	if method == http.MethodPost {
		w.once[a.ID] = true
	}
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		w.promised[a.ID] = a.Status
	case http.StatusNotFound, http.StatusBadRequest:
		w.note("%s was denied with %d", a.ID, a.Status)
	case http.StatusOK:
		if a.Err == nil && !a.Complete {
			w.note("%s got a success that no target signed", a.ID)
		}
	}
	if !a.Complete {
		return
	}
	w.whole++
	if !strings.Contains(a.Body, " "+method+" "+path+" ") {
		w.note("%s asked for %s %s and got %q", a.ID, method, path, a.Body)
	}
}

func (w *witness) accepted(version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acked = max(w.acked, version)
}

func (w *witness) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acked
}

// refused notes a change that was refused though it builds on the newest and was the only one.
func (w *witness) refused(version, status int) {
	w.fail("change %d was refused with %d", version, status)
}

// read checks a plan that was read after a version had been acknowledged.
func (w *witness) read(floor int, version string) {
	if version == "" {
		return // a controller may say that it can't be sure
	}
	n, err := strconv.Atoi(strings.TrimPrefix(version, "r"))
	if err != nil || n < floor {
		w.fail("read %q after %d was acknowledged", version, floor)
	}
}

func (w *witness) departed(t *speaker.Target, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = append(w.left, departure{target: t, at: at})
}

// froze notes that an entry instance stands still: what it had in hand may reach targets that have just left.
func (w *witness) froze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.left {
		if time.Since(w.left[i].at) < 2*drainTime {
			w.left[i].excuse = true
		}
	}
}

// judge checks what can be known only at the end.
func (s *Soak) judge(ctx context.Context) {
	w := &s.witness
	runs := map[string]int{}
	for _, t := range s.allTargets() {
		for id, n := range t.Runs() {
			runs[id] += n
		}
	}
	w.mu.Lock()
	for id := range w.once {
		if runs[id] > 1 {
			w.note("%s must not repeat and ran %d times", id, runs[id])
		}
	}
	for id, status := range w.promised {
		if runs[id] > 0 {
			w.note("%s was told %d, not run, and has run", id, status)
		}
	}
	for _, d := range w.left {
		late := d.target.LastRequest().Sub(d.at)
		if late > drainTime+drainSlack && !d.excuse {
			w.note("%s got a request %s after its leaving was acknowledged", d.target.ID, late)
		}
	}
	if w.whole < w.asked/2 {
		w.note("only %d of %d requests were served", w.whole, w.asked)
	}
	floor := w.acked
	w.mu.Unlock()
	deadline := time.Now().Add(settleTime)
	operator := s.operator()
	version := operator.Version(ctx)
	for ; version == "" && time.Now().Before(deadline); version = operator.Version(ctx) {
		time.Sleep(10 * callerPause)
	}
	if version == "" {
		w.fail("the plan can't be read %s after the last fault", settleTime)
	}
	w.read(floor, version)
}

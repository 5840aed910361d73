package enforcer

import (
	"sync"
	"time"
)

const (
	// maxBackoff limits the pause between two calls about an organisation while they fail.
	maxBackoff = 320 * time.Millisecond
	// maxFailures is the number of failures in a row from which on the pause is not doubled any more.
	maxFailures = 8
)

// backoffs limits the rate of calls about each organisation while no instance knows its quota. Otherwise every waiting
// request would retry, and the calls would take the time that this instance needs to learn the right owner.
// The zero value is ready for use.
type backoffs struct {
	mu             sync.Mutex
	byOrganisation map[string]backoff
}

// backoff is the state of the calls about one organisation.
type backoff struct {
	// failures counts the calls in a row that failed, failedAt is when the last of them ended.
	failures int
	failedAt time.Time
	// retryAt is when the next call may be made.
	retryAt time.Time
}

// delay returns the pause before the next call. It doubles with each failure.
func (t *backoff) delay() time.Duration {
	return min(maxBackoff, peerRetryDelay<<(min(t.failures, maxFailures)-1))
}

// allow reports whether a call may be made now, and otherwise when to try again.
func (t *backoffs) allow(now time.Time, organisation string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, ok := t.byOrganisation[organisation]
	if ok && now.Before(state.retryAt) {
		return state.retryAt, false
	}
	if ok {
		state.retryAt = now.Add(state.delay())
		t.byOrganisation[organisation] = state
	}
	return now, true
}

// record records whether a call that was started at asked got a usable answer.
func (t *backoffs) record(now, asked time.Time, organisation string, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answered {
		delete(t.byOrganisation, organisation)
		return
	}
	state := t.byOrganisation[organisation]
	if asked.Before(state.failedAt) {
		// The call ran concurrently with one that has increased the backoff already.
		return
	}
	state.failures++
	state.retryAt, state.failedAt = now.Add(state.delay()), now
	if t.byOrganisation == nil {
		t.byOrganisation = map[string]backoff{}
	}
	t.byOrganisation[organisation] = state
}

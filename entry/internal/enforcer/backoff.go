package enforcer

import (
	"sync"
	"time"
)

const (
	// maxBackoff limits the pause between two calls about an organisation while they fail.
	maxBackoff = 320 * time.Millisecond
	// maxMisses is the most failures in a row that count for the pause, which has reached maxBackoff by then.
	maxMisses = 8
)

// backoffs limits the rate of calls about each organisation while no instance knows its quota. Otherwise every waiting
// request would retry, and the calls would take the time that this instance needs to learn the right owner. The zero
// value is ready for use.
type backoffs struct {
	mu    sync.Mutex
	paced map[string]backoff
}

// backoff is the state of the calls about one organisation.
type backoff struct {
	// misses counts the calls in a row that got no usable answer, failed is when the last of them ended.
	misses int
	failed time.Time
	// due is when the next call may be made.
	due time.Time
}

// pause returns the pause before the next call. It doubles with each failure.
func (t *backoff) pause() time.Duration {
	return min(maxBackoff, peerRetryDelay<<(min(t.misses, maxMisses)-1))
}

// allow reports whether a call may be made now, and otherwise when to try again.
func (t *backoffs) allow(now time.Time, organisation string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	paced, ok := t.paced[organisation]
	if ok && now.Before(paced.due) {
		return paced.due, false
	}
	if ok {
		paced.due = now.Add(paced.pause())
		t.paced[organisation] = paced
	}
	return now, true
}

// record records whether a call that was made at the time asked got a usable answer.
func (t *backoffs) record(now, asked time.Time, organisation string, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answered {
		delete(t.paced, organisation)
		return
	}
	paced := t.paced[organisation]
	if asked.Before(paced.failed) {
		// The call ran concurrently with one that has increased the backoff already.
		return
	}
	paced.misses++
	paced.due, paced.failed = now.Add(paced.pause()), now
	if t.paced == nil {
		t.paced = map[string]backoff{}
	}
	t.paced[organisation] = paced
}

package enforcer

import (
	"sync"
	"time"
)

const (
	// maxAgain bounds the pause between two questions about an organisation that bring nothing.
	maxAgain = 320 * time.Millisecond
	// maxMisses is from how many of them on the pause is the longest at any rate.
	maxMisses = 8
)

// turns spaces out the questions about each organisation while nobody knows its quota. Every waiting request would else
// ask again and again: the questions take the time that this instance needs to learn whom to ask. The zero value is
// ready.
type turns struct {
	mu    sync.Mutex
	paced map[string]turn
}

// turn is the pace of the questions about one organisation.
type turn struct {
	// misses is how many questions in a row brought nothing, failed when the last of them ended.
	misses int
	failed time.Time
	// due is when the next question may be asked.
	due time.Time
}

// pause is how long the next question waits: twice as long after each that brought nothing.
func (t *turn) pause() time.Duration {
	return min(maxAgain, again<<(min(t.misses, maxMisses)-1))
}

// take reports whether a question may be asked now, and else when to come again.
func (t *turns) take(now time.Time, organisation string) (time.Time, bool) {
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

// done notes whether a question that was asked at a time brought an answer.
func (t *turns) done(now, asked time.Time, organisation string, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answered {
		delete(t.paced, organisation)
		return
	}
	paced := t.paced[organisation]
	if asked.Before(paced.failed) {
		// It was asked beside one that has slowed the pace already.
		return
	}
	paced.misses++
	paced.due, paced.failed = now.Add(paced.pause()), now
	if t.paced == nil {
		t.paced = map[string]turn{}
	}
	t.paced[organisation] = paced
}

package asker

import (
	"sync"
	"time"
)

// maxAgain bounds the pause between two questions about an organisation that bring nothing.
const maxAgain = 320 * time.Millisecond

// turns spaces out the questions about each organisation while nobody knows its quota. Every waiting request would else
// ask again and again: the questions take the time that this instance needs to learn whom to ask. The zero value is
// ready.
type turns struct {
	mu    sync.Mutex
	paced map[string]turn
}

// turn is the pace of the questions about one organisation.
type turn struct {
	pause time.Duration
	// due is when the next question may be asked, failed when the last one ended that brought nothing.
	due    time.Time
	failed time.Time
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
		paced.due = now.Add(paced.pause)
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
	paced.pause = min(maxAgain, max(again, 2*paced.pause))
	paced.due, paced.failed = now.Add(paced.pause), now
	if t.paced == nil {
		t.paced = map[string]turn{}
	}
	t.paced[organisation] = paced
}

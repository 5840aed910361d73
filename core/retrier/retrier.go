// Package retrier decides whether a failed attempt may be tried again. Retries are paid from a budget
// that successes fill, so that an outage does not multiply its own load.
package retrier

import "sync"

const (
	// earn is what one success adds, in thousandths of a retry: retries stay under a tenth of successes.
	earn = 100
	cost = 1000
	// most bounds what a long calm can save up, and the budget starts with it.
	most = 10 * cost
)

// Budget is shared by all requests of a service. Its zero value is empty; New fills it.
type Budget struct {
	mu    sync.Mutex
	saved int
}

// New returns a full budget.
func New() *Budget { return &Budget{saved: most} }

// RecordSuccess records a success.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(most, b.saved+earn)
}

// Spend pays for one retry if the budget allows it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < cost {
		return false
	}
	b.saved -= cost
	return true
}

// Ending is how an attempt ended.
type Ending int

// The endings of an attempt.
const (
	// Answered: the target answered.
	Answered Ending = iota
	// Unrun: the target certainly did not run the request.
	Unrun
	// Unknown: the connection failed after something was sent.
	Unknown
)

// Attempt is what is known of a failed attempt.
type Attempt struct {
	Ending Ending
	// Idempotent requests may run more than once.
	Idempotent bool
	// Replayable requests still have their whole body at hand.
	Replayable bool
	// Suspect requests were in flight when a target died.
	Suspect bool
	Tries   int
}

// MaxTries bounds the attempts of one request, the first included.
const MaxTries = 3

// AllowRetry decides about another attempt and pays for it.
func (b *Budget) AllowRetry(a Attempt) bool {
	if a.Ending == Answered || a.Tries >= MaxTries || !a.Replayable {
		return false
	}
	if a.Ending == Unknown && (!a.Idempotent || a.Suspect) {
		return false
	}
	return b.Spend()
}

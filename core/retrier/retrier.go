// Package retrier decides whether a failed attempt is retried. Retries are taken from a budget that successes refill,
// so that retries do not multiply the load of an outage.
package retrier

import "sync"

const (
	// creditPerSuccess is what one success adds, in thousandths of a retry: retries stay under a tenth of the
	// successes.
	creditPerSuccess = 100
	retryCost        = 1000
	// maxCredit bounds the credit that successes accumulate; the budget starts with it.
	maxCredit = 10 * retryCost
)

// Budget is a retry budget that all requests of a service share. Its zero value is empty; New returns a full one. It is
// safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	credit int
}

// New returns a full budget.
func New() *Budget { return &Budget{credit: maxCredit} }

// RecordSuccess adds the credit of one success.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(maxCredit, b.credit+creditPerSuccess)
}

// Spend takes one retry from the budget and reports whether the budget allowed it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < retryCost {
		return false
	}
	b.credit -= retryCost
	return true
}

// Ending is how an attempt ended.
type Ending int

// The ways in which an attempt can end.
const (
	// Answered means that the target answered.
	Answered Ending = iota
	// Unrun means that the target certainly did not run the request.
	Unrun
	// Unknown means that the connection failed after something was sent, so that the target may have run the request.
	Unknown
)

// Attempt describes a failed attempt.
type Attempt struct {
	Ending Ending
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Replayable is set if the whole request body is still available.
	Replayable bool
	// Suspect is set if the request was in flight when a target crashed.
	Suspect bool
	// Tries is the number of attempts so far, this one included.
	Tries int
}

// MaxTries bounds the attempts of one request, the first included.
const MaxTries = 3

// AllowRetry reports whether a failed attempt may be retried, and takes the retry from the budget if so.
func (b *Budget) AllowRetry(a Attempt) bool {
	if a.Ending == Answered || a.Tries >= MaxTries || !a.Replayable {
		return false
	}
	if a.Ending == Unknown && (!a.Idempotent || a.Suspect) {
		return false
	}
	return b.Spend()
}

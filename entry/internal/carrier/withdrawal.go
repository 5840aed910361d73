package carrier

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/placer"
)

const (
	// undeliveredCheckDelay is how long after a withdrawal the last request to the target has surely been sent: it may
	// have had to wait for a connection.
	undeliveredCheckDelay = time.Second
	// minUndeliveredAge is the age at which a request's first bytes should have been acknowledged, even with two
	// retransmissions of a lost packet.
	minUndeliveredAge = 500 * time.Millisecond
)

// withdrawals are the targets that were withdrawn with requests still in flight. Requests that have not reached them
// after undeliveredCheckDelay are cancelled, because behind a network partition they would arrive much later. The zero
// value is ready.
type withdrawals struct {
	mu   sync.Mutex
	list []withdrawal
}

// withdrawal is a target that left the view or restarted; due is when its undelivered requests are cancelled.
type withdrawal struct {
	placer.Spec
	due time.Time
}

func (r *withdrawals) add(now time.Time, withdrawn []placer.Spec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range withdrawn {
		r.list = append(r.list, withdrawal{Spec: s, due: now.Add(undeliveredCheckDelay)})
	}
}

// takeDue removes and returns the withdrawals that are due; the list is ordered by time.
func (r *withdrawals) takeDue(now time.Time) []withdrawal {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for n < len(r.list) && !now.Before(r.list[n].due) {
		n++
	}
	due := r.list[:n:n]
	r.list = r.list[n:]
	return due
}

// cancelUndelivered cancels the requests that have not reached their targets, for all withdrawals that are due.
func (c *Carrier) cancelUndelivered(now time.Time) {
	for _, w := range c.withdrawals.takeDue(now) {
		count := c.Sender.CancelUndelivered(w.Address, now.Add(-minUndeliveredAge))
		if count > 0 {
			_ = level.Info(c.Logger).Log("msg", "requests recalled", "target", w.Name, "zone", w.Zone, "requests", count)
		}
	}
}

package dispatcher

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/placer"
)

const (
	// undeliveredCheckDelay is when the last request to a withdrawn target is out: it may have had to wait for a connection.
	undeliveredCheckDelay = time.Second
	// minUndeliveredAge is how old a request is whose first bytes should be acknowledged, with two repeats of a lost packet.
	minUndeliveredAge = 500 * time.Millisecond
)

// withdrawals are the targets that get no more requests while some are there. What has not reached them then is given up, for
// behind a cut it would reach them much later. The zero value is ready.
type withdrawals struct {
	mu   sync.Mutex
	list []withdrawal
}

// withdrawal is a target that left the view, and when its requests are looked at.
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

// takeDue returns what is due; the list is in the order of time.
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

// cancelUndelivered gives up what is still on its way to targets that were withdrawn.
func (c *Dispatcher) cancelUndelivered(now time.Time) {
	for _, w := range c.withdrawals.takeDue(now) {
		count := c.Sender.CancelUndelivered(w.Address, now.Add(-minUndeliveredAge))
		if count > 0 {
			_ = level.Info(c.Logger).Log("msg", "requests recalled", "target", w.Name, "zone", w.Zone, "requests", count)
		}
	}
}

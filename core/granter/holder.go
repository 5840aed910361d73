package granter

import (
	"sync"
	"time"

	"chervilrail.example/core/limiter"
	"chervilrail.example/core/wire"
)

// wantParts is the headroom that a holder asks for above its demand: a quarter.
const wantParts = 4

// Holder is the using side, in an entry instance. Its methods are safe for concurrent use.
type Holder struct {
	mu       sync.Mutex
	sequence uint64
	sent     time.Time
	// renewing is set when the latest request reported shares in force.
	renewing bool
	// deadline ends every share at once; it counts from when the accepted request was sent.
	deadline time.Time
	shares   map[string]*portion
}

type portion struct {
	watched bool
	limit   int64
	window  limiter.Window
	demand  limiter.Window
}

// unlimited lets the demand window count without refusing.
const unlimited = int64(1) << 62

// SetResources sets which resources are held; others are given up once their use has left the window. Dropped
// at once, a limit that a later change brings back would not count what was used just before.
func (h *Holder) SetResources(now time.Time, resources []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shares == nil {
		h.shares = map[string]*portion{}
	}
	for _, p := range h.shares {
		p.watched = false
	}
	for _, name := range resources {
		p, ok := h.shares[name]
		if !ok {
			p = &portion{window: limiter.Window{Origin: now}, demand: limiter.Window{Origin: now}}
			h.shares[name] = p
		}
		p.watched = true
	}
	for name, p := range h.shares {
		if !p.watched && p.window.Used(now) == 0 {
			delete(h.shares, name)
		}
	}
}

// Request starts a new round and returns its sequence and what is held. From here on, answers to
// earlier rounds are ignored.
func (h *Holder) Request(now time.Time) (uint64, []*wire.Holding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	h.sent = now
	h.renewing = now.Before(h.deadline)
	expired := !now.Before(h.deadline)
	out := make([]*wire.Holding, 0, len(h.shares))
	for name, p := range h.shares {
		if expired {
			p.limit = 0
		}
		wanted := p.demand.Used(now)
		out = append(out, &wire.Holding{
			Resource: name,
			Held:     p.limit,
			Used:     p.window.Used(now),
			Wanted:   wanted + wanted/wantParts,
		})
	}
	return h.sequence, out
}

// Accept puts an answer in force if it belongs to the latest round.
func (h *Holder) Accept(now time.Time, sequence uint64, lease time.Duration, grants []*wire.Grant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	deadline := h.sent.Add(lease)
	if sequence != h.sequence || !now.Before(deadline) {
		return false
	}
	// A new leader renews what a request says is held, because the former one still counted it. That is
	// true only while the lease goes on: after a lapse the former leader may have given the share away,
	// and taking it up again would let two instances use it.
	if h.renewing && !now.Before(h.deadline) {
		return false
	}
	h.deadline = deadline
	for _, g := range grants {
		if p, ok := h.shares[g.GetResource()]; ok {
			p.limit = g.GetShare()
		}
	}
	return true
}

// Demand counts units that would be used if all were granted.
func (h *Holder) Demand(now time.Time, resource string, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p, ok := h.shares[resource]; ok {
		p.demand.Take(now, unlimited, n)
	}
}

// Take uses n units of a share. It refuses when the share or its lease is used up. A resource that is
// not watched has no limit.
func (h *Holder) Take(now time.Time, resource string, n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.shares[resource]
	if !ok {
		return true
	}
	if !p.watched {
		return p.window.Take(now, unlimited, n)
	}
	if !now.Before(h.deadline) {
		return false
	}
	return p.window.Take(now, p.limit, n)
}

// Available returns how many units could be taken now.
func (h *Holder) Available(now time.Time, resource string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.shares[resource]
	if !ok || !p.watched {
		return unlimited
	}
	if !now.Before(h.deadline) {
		return 0
	}
	return max(0, p.limit-p.window.Used(now))
}

// Limit returns the share in force, for metrics.
func (h *Holder) Limit(now time.Time, resource string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.shares[resource]
	if !ok || !now.Before(h.deadline) {
		return 0
	}
	return p.limit
}

// Deadline returns until when the shares may be used.
func (h *Holder) Deadline() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.deadline
}

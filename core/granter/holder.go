package granter

import (
	"sync"
	"time"

	"chervilrail.example/core/limiter"
	"chervilrail.example/core/wire"
)

// headroomDivisor defines the headroom that a holder requests above its demand: a quarter.
const headroomDivisor = 4

// Holder keeps the shares of one entry instance and counts their use. Its methods are safe for concurrent use.
type Holder struct {
	mu       sync.Mutex
	sequence uint64
	// sent is when the latest request was made.
	sent time.Time
	// renewing is set if the latest request reported shares in force.
	renewing bool
	// deadline is when all shares expire. It is counted from when the accepted request was sent.
	deadline time.Time
	shares   map[string]*heldShare
}

type heldShare struct {
	// active is set while the resource is among those that SetResources was last called with.
	active bool
	limit  int64
	// window counts the units used, demand those that would be used if all of them were granted.
	window limiter.Window
	demand limiter.Window
}

// unlimited is the limit of windows that count without refusing.
const unlimited = int64(1) << 62

// SetResources sets for which resources shares are held. Others are dropped once their use has left the window: if they
// were dropped at once and added again by a later change, the use just before would not be counted.
func (h *Holder) SetResources(now time.Time, resources []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shares == nil {
		h.shares = map[string]*heldShare{}
	}
	for _, p := range h.shares {
		p.active = false
	}
	for _, name := range resources {
		p, ok := h.shares[name]
		if !ok {
			p = &heldShare{window: limiter.Window{Origin: now}, demand: limiter.Window{Origin: now}}
			h.shares[name] = p
		}
		p.active = true
	}
	for name, p := range h.shares {
		if !p.active && p.window.Used(now) == 0 {
			delete(h.shares, name)
		}
	}
}

// Request starts a new round and returns its sequence and what is held. From then on, answers to earlier rounds are
// ignored.
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
			Wanted:   wanted + wanted/headroomDivisor,
		})
	}
	return h.sequence, out
}

// Accept puts an answer in force and returns true if it belongs to the latest round and its lease has not expired.
func (h *Holder) Accept(now time.Time, sequence uint64, lease time.Duration, grants []*wire.Grant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	deadline := h.sent.Add(lease)
	if sequence != h.sequence || !now.Before(deadline) {
		return false
	}
	// A new leader renews what a request reports as held, because the previous leader still counted it. That holds only
	// while the lease is valid: once it has expired, the previous leader may have granted the share to others, and two
	// instances would use it.
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

// Demand counts units that would be used if all of them were granted.
func (h *Holder) Demand(now time.Time, resource string, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p, ok := h.shares[resource]; ok {
		p.demand.Take(now, unlimited, n)
	}
}

// Take uses n units of a share. It returns false when the share is used up or its lease has expired. A resource that is
// not set has no limit.
func (h *Holder) Take(now time.Time, resource string, n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.shares[resource]
	if !ok {
		return true
	}
	if !p.active {
		return p.window.Take(now, unlimited, n)
	}
	if !now.Before(h.deadline) {
		return false
	}
	return p.window.Take(now, p.limit, n)
}

// Available returns how many units can be taken now.
func (h *Holder) Available(now time.Time, resource string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.shares[resource]
	if !ok || !p.active {
		return unlimited
	}
	if !now.Before(h.deadline) {
		return 0
	}
	return max(0, p.limit-p.window.Used(now))
}

// Limit returns the share in force, zero if there is none.
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

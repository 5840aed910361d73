// Package balancer chooses the target of a request: near ones first, by two random candidates compared
// on the work that this instance has outstanding there. It is safe for concurrent use.
package balancer

import (
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// ReportAge is how old a reported load may be and still count.
	ReportAge = 3 * time.Second
	// WarmUp is over how long a new target is brought to its full part.
	WarmUp = 10 * time.Second

	ejectAfter = 3
	ejectBase  = time.Second
	ejectMax   = 30 * time.Second
	// maxEjected is the largest part of a pool, in percent, that failures may take out. Past it the fault
	// is more likely with this instance or its network than with the targets.
	maxEjected = 50
	percent    = 100
	// scale keeps fractions of a slot in integers.
	scale = 1024
)

// Report is a target's own word on its load.
type Report struct {
	Load int32
	At   time.Time
}

// Target is one back end as seen by this instance.
type Target struct {
	Name        string
	Incarnation uint64
	Address     netip.AddrPort
	Region      string
	Zone        string
	Slots       int32
	// FirstSeen is when this run of the target was first seen; its cache is cold then.
	FirstSeen time.Time

	// own is how many of the slots belong to this instance.
	own         atomic.Int32
	outstanding atomic.Int32
	failures    atomic.Int32
	// ejectedUntil is in nanoseconds since the epoch; 0 means in use.
	ejectedUntil atomic.Int64
	report       atomic.Pointer[Report]
}

// SetOwnSlots says how many of the slots belong to this instance.
func (u *Target) SetOwnSlots(n int32) { u.own.Store(n) }

// OwnSlots returns how many of the slots belong to this instance.
func (u *Target) OwnSlots() int32 { return u.own.Load() }

// Outstanding returns how many requests of this instance the target works on.
func (u *Target) Outstanding() int32 { return u.outstanding.Load() }

// SetReport stores a reported load.
func (u *Target) SetReport(r Report) { u.report.Store(&r) }

// Reserve takes a slot if this instance has fewer than limit requests outstanding there.
func (u *Target) Reserve(limit int32) bool {
	for {
		n := u.outstanding.Load()
		if n >= limit {
			return false
		}
		if u.outstanding.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release gives a slot back.
func (u *Target) Release() { u.outstanding.Add(-1) }

// Succeed clears the record of failures.
func (u *Target) Succeed() {
	u.failures.Store(0)
	u.ejectedUntil.Store(0)
}

// Fail counts a failure; several in a row take the target out for a while, longer each time.
func (u *Target) Fail(now time.Time) {
	n := u.failures.Add(1)
	if n < ejectAfter {
		return
	}
	rest := ejectBase << min(n-ejectAfter, 5)
	u.ejectedUntil.Store(now.Add(min(rest, ejectMax)).UnixNano())
}

// Ejected reports whether failures keep the target out at the moment.
func (u *Target) Ejected(now time.Time) bool {
	until := u.ejectedUntil.Load()
	return until != 0 && now.UnixNano() < until
}

// room is how many requests this instance may have outstanding there now: a cold target starts with
// a part of its slots, so that a wave of misses does not bury it.
func (u *Target) room(now time.Time) int32 {
	age := now.Sub(u.FirstSeen)
	own := u.OwnSlots()
	if age >= WarmUp || own == 0 {
		return own
	}
	return max(1, int32(int64(own)*int64(age)/int64(WarmUp)))
}

// borrowed is how many slots of other instances may be used now. A fresh report must show the target
// half idle: its owners find their slots taken otherwise, and what they send is shed.
func (u *Target) borrowed(now time.Time) int32 {
	r := u.report.Load()
	if r == nil || now.Sub(r.At) >= ReportAge || now.Sub(u.FirstSeen) < WarmUp || 2*r.Load >= u.Slots {
		return 0
	}
	return min(u.OwnSlots()+1, u.Slots)
}

// cost compares targets: outstanding work by slot. A fresh report only breaks ties, because every
// instance sees the same one and would otherwise follow it at once to the same target.
func (u *Target) cost(now time.Time) int64 {
	slots := int64(max(1, u.OwnSlots()))
	cost := int64(u.outstanding.Load()) * scale * scale / slots
	if r := u.report.Load(); r != nil && now.Sub(r.At) < ReportAge {
		cost += min(int64(r.Load)*scale/slots, scale*scale/slots-1)
	}
	return cost
}

// Pool is an immutable set of targets of one service, grouped by distance from this instance.
type Pool struct {
	// Tiers lists the targets of the own availability zone, the rest of the own region, and then of
	// each other region by distance.
	Tiers []Tier
}

// Tier is a group of targets at equal distance.
type Tier struct {
	Region  string
	Targets []*Target
}

// OwnSlots returns how many slots of the pool belong to this instance, at targets that are not ejected. Were
// those counted, requests would be let in for slots that can't be used, and wait there without an order.
func (p *Pool) OwnSlots(now time.Time) int {
	sum := 0
	for _, t := range p.Tiers {
		for _, u := range t.Targets {
			if !u.Ejected(now) {
				sum += int(u.OwnSlots())
			}
		}
	}
	return sum
}

// BorrowableSlots returns how many slots of other instances could be used now, by the fresh reports.
func (p *Pool) BorrowableSlots(now time.Time) int {
	sum := 0
	for _, t := range p.Tiers {
		for _, u := range t.Targets {
			sum += int(max(0, u.borrowed(now)-u.OwnSlots()))
		}
	}
	return sum
}

// Regions returns the regions of a pool, nearest first.
func (p *Pool) Regions() []string {
	var out []string
	for _, t := range p.Tiers {
		if len(t.Targets) == 0 {
			continue
		}
		if len(out) == 0 || out[len(out)-1] != t.Region {
			out = append(out, t.Region)
		}
	}
	return out
}

// Balancer chooses. Set Random to a source of uniform 64-bit numbers before use.
type Balancer struct {
	Random func() uint64
}

// Choose reserves a slot at a target of the region and returns it, or nil when none has room: a slot of
// this instance's own if one is free, else one of another instance at a target that reports itself half
// idle. The caller must call Release on what it gets. Excluded targets were tried for this request before.
func (b *Balancer) Choose(now time.Time, p *Pool, region string, excluded []*Target) *Target {
	for _, room := range []roomFunc{(*Target).room, (*Target).borrowed} {
		for _, t := range p.Tiers {
			if t.Region != region {
				continue
			}
			if u := b.fromTier(now, t.Targets, excluded, room); u != nil {
				return u
			}
		}
	}
	return nil
}

// roomFunc tells how many requests a target may have from this instance.
type roomFunc func(u *Target, now time.Time) int32

func (b *Balancer) fromTier(now time.Time, targets, excluded []*Target, room roomFunc) *Target {
	n := uint64(len(targets))
	if n == 0 {
		return nil
	}
	respect := b.respectEjection(now, targets)
	first := targets[b.Random()%n]
	second := targets[b.Random()%n]
	if second.cost(now) < first.cost(now) {
		first, second = second, first
	}
	for _, u := range [2]*Target{first, second} {
		if usable(now, u, excluded, respect) && u.Reserve(room(u, now)) {
			return u
		}
	}
	return b.scan(now, targets, excluded, respect, room)
}

// scan looks at all targets, from a random place on, when neither candidate has room.
func (b *Balancer) scan(now time.Time, targets, excluded []*Target, respect bool, room roomFunc) *Target {
	n := len(targets)
	start := int(b.Random() % uint64(n))
	for i := range n {
		u := targets[(start+i)%n]
		if usable(now, u, excluded, respect) && u.Reserve(room(u, now)) {
			return u
		}
	}
	return nil
}

func usable(now time.Time, u *Target, excluded []*Target, respect bool) bool {
	for _, e := range excluded {
		if e == u {
			return false
		}
	}
	return !respect || !u.Ejected(now)
}

// respectEjection ignores ejections once they take out too much: an instance whose own network fails
// would otherwise eject everything and answer nothing.
func (b *Balancer) respectEjection(now time.Time, targets []*Target) bool {
	out := 0
	for _, u := range targets {
		if u.Ejected(now) {
			out++
		}
	}
	return out*percent <= len(targets)*maxEjected
}

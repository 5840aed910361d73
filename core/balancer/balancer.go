// Package balancer chooses the target of a request. It prefers near targets, and among those of a tier compares two
// random candidates by the requests that this instance has outstanding at each. It is safe for concurrent use.
package balancer

import (
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// MaxReportAge is the age from which a reported load is ignored.
	MaxReportAge = 3 * time.Second
	// WarmUpTime is the time over which the limit of a new target grows to all its slots.
	WarmUpTime = 10 * time.Second

	// ejectionThreshold is the number of consecutive failures from which a target is ejected: for minEjection at first,
	// and for twice as long with each further failure, up to maxEjection.
	ejectionThreshold = 3
	minEjection       = time.Second
	maxEjection       = 30 * time.Second
	// maxEjectedPercent is the percentage of ejected targets in a tier above which ejections are ignored: the fault is
	// then more likely with this instance or its network than with the targets.
	maxEjectedPercent = 50
	percent           = 100
	// scale is the fixed-point factor for fractions of a slot.
	scale = 1024
)

// Report is the load that a target reported about itself, in slots, and when.
type Report struct {
	Load int32
	At   time.Time
}

// Target is a target of a service, with what this instance has recorded about it.
type Target struct {
	Name        string
	Incarnation uint64
	Address     netip.AddrPort
	Region      string
	Zone        string
	Slots       int32
	// FirstSeen is when this incarnation of the target was first seen. Its cache is cold at that time. The zero time marks
	// a target as warm.
	FirstSeen time.Time

	// ownSlots is how many of the slots are assigned to this instance.
	ownSlots    atomic.Int32
	outstanding atomic.Int32
	// failures is the number of consecutive failures.
	failures atomic.Int32
	// ejectedUntil is in nanoseconds since the epoch; 0 means not ejected.
	ejectedUntil atomic.Int64
	report       atomic.Pointer[Report]
}

// SetOwnSlots sets how many of the slots are assigned to this instance.
func (u *Target) SetOwnSlots(n int32) { u.ownSlots.Store(n) }

// OwnSlots returns how many of the slots are assigned to this instance.
func (u *Target) OwnSlots() int32 { return u.ownSlots.Load() }

// Outstanding returns how many requests of this instance are in progress at the target.
func (u *Target) Outstanding() int32 { return u.outstanding.Load() }

// SetReport stores a reported load.
func (u *Target) SetReport(r Report) { u.report.Store(&r) }

// Reserve takes a slot and returns true if this instance has fewer than limit requests outstanding at the target.
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

// Release returns a reserved slot.
func (u *Target) Release() { u.outstanding.Add(-1) }

// Succeed records a success: it resets the number of failures and ends an ejection.
func (u *Target) Succeed() {
	u.failures.Store(0)
	u.ejectedUntil.Store(0)
}

// Fail records a failure. From the third consecutive one on, each ejects the target for a longer time.
func (u *Target) Fail(now time.Time) {
	n := u.failures.Add(1)
	if n < ejectionThreshold {
		return
	}
	duration := minEjection << min(n-ejectionThreshold, 5)
	u.ejectedUntil.Store(now.Add(min(duration, maxEjection)).UnixNano())
}

// Ejected reports whether the target is currently ejected because of failures.
func (u *Target) Ejected(now time.Time) bool {
	until := u.ejectedUntil.Load()
	return until != 0 && now.UnixNano() < until
}

// ownLimit returns how many requests this instance may have outstanding at the target on its own slots. A new target
// starts with a fraction of its slots, so that cache misses do not overload it.
func (u *Target) ownLimit(now time.Time) int32 {
	age := now.Sub(u.FirstSeen)
	own := u.OwnSlots()
	if age >= WarmUpTime || own == 0 {
		return own
	}
	return max(1, int32(int64(own)*int64(age)/int64(WarmUpTime)))
}

// borrowLimit returns how many requests this instance may have outstanding at the target when it uses a slot assigned
// to another instance, at most one more than its own slots. It returns 0 unless a fresh report shows a load below half
// of the slots. Otherwise the instances that the slots are assigned to would find them occupied, and their requests
// would be shed.
func (u *Target) borrowLimit(now time.Time) int32 {
	r := u.report.Load()
	if r == nil || now.Sub(r.At) >= MaxReportAge || now.Sub(u.FirstSeen) < WarmUpTime || 2*r.Load >= u.Slots {
		return 0
	}
	return min(u.OwnSlots()+1, u.Slots)
}

// cost returns the outstanding requests per own slot, multiplied by the square of scale, by which targets are compared.
// A fresh report only breaks ties: all instances receive the same report, and would otherwise choose the same target at
// the same time.
func (u *Target) cost(now time.Time) int64 {
	slots := int64(max(1, u.OwnSlots()))
	cost := int64(u.outstanding.Load()) * scale * scale / slots
	if r := u.report.Load(); r != nil && now.Sub(r.At) < MaxReportAge {
		cost += min(int64(r.Load)*scale/slots, scale*scale/slots-1)
	}
	return cost
}

// Pool is an immutable set of targets of one service, grouped by distance from this instance.
type Pool struct {
	// Tiers lists the targets of this instance's availability zone, those of the rest of its region, and then those of
	// each other region, nearest first.
	Tiers []Tier
}

// Tier is a group of targets at the same distance.
type Tier struct {
	Region  string
	Targets []*Target
}

// OwnSlots returns how many slots of the pool are assigned to this instance, at targets that are not ejected. If slots
// of ejected targets were counted, requests would be admitted that can't be sent, and wait for a slot in no order.
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

// BorrowableSlots returns how many slots assigned to other instances this one may use now, according to fresh reports.
func (p *Pool) BorrowableSlots(now time.Time) int {
	sum := 0
	for _, t := range p.Tiers {
		for _, u := range t.Targets {
			sum += int(max(0, u.borrowLimit(now)-u.OwnSlots()))
		}
	}
	return sum
}

// Regions returns the regions in which the pool has targets, nearest first.
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

// Balancer chooses targets. Set Random to a source of uniformly distributed 64-bit numbers before use. Random has to be
// safe for concurrent use if the Balancer is used concurrently.
type Balancer struct {
	Random func() uint64
}

// Choose reserves a slot at a target of the region and returns the target, or nil if no slot is available. It uses a
// slot assigned to this instance if one is free, otherwise one assigned to another instance, at a target that reports a
// load below half of its slots. The caller must call Release on the returned target. Excluded targets are not chosen,
// because they were tried before for this request.
func (b *Balancer) Choose(now time.Time, p *Pool, region string, excluded []*Target) *Target {
	for _, limit := range []limitFunc{(*Target).ownLimit, (*Target).borrowLimit} {
		for _, t := range p.Tiers {
			if t.Region != region {
				continue
			}
			if u := b.chooseFromTier(now, t.Targets, excluded, limit); u != nil {
				return u
			}
		}
	}
	return nil
}

// limitFunc returns how many requests this instance may have outstanding at a target.
type limitFunc func(u *Target, now time.Time) int32

// chooseFromTier reserves a slot at the cheaper of two random targets, at the other one if it has none free, or at any
// target of the tier. It returns nil if there is no free slot.
func (b *Balancer) chooseFromTier(now time.Time, targets, excluded []*Target, limit limitFunc) *Target {
	n := uint64(len(targets))
	if n == 0 {
		return nil
	}
	skipEjected := b.shouldSkipEjected(now, targets)
	first := targets[b.Random()%n]
	second := targets[b.Random()%n]
	if second.cost(now) < first.cost(now) {
		first, second = second, first
	}
	for _, u := range [2]*Target{first, second} {
		if isEligible(now, u, excluded, skipEjected) && u.Reserve(limit(u, now)) {
			return u
		}
	}
	return b.scan(now, targets, excluded, skipEjected, limit)
}

// scan tries all targets, beginning with a random one. It is used when neither candidate can take the request.
func (b *Balancer) scan(now time.Time, targets, excluded []*Target, skipEjected bool, limit limitFunc) *Target {
	n := len(targets)
	start := int(b.Random() % uint64(n))
	for i := range n {
		u := targets[(start+i)%n]
		if isEligible(now, u, excluded, skipEjected) && u.Reserve(limit(u, now)) {
			return u
		}
	}
	return nil
}

func isEligible(now time.Time, u *Target, excluded []*Target, skipEjected bool) bool {
	for _, e := range excluded {
		if e == u {
			return false
		}
	}
	return !skipEjected || !u.Ejected(now)
}

// shouldSkipEjected reports whether ejections are respected. They are ignored once too many targets are ejected,
// because an instance whose own network fails would otherwise eject all targets and refuse all requests.
func (b *Balancer) shouldSkipEjected(now time.Time, targets []*Target) bool {
	ejected := 0
	for _, u := range targets {
		if u.Ejected(now) {
			ejected++
		}
	}
	return ejected*percent <= len(targets)*maxEjectedPercent
}

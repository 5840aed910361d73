package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func pool(n int, slots int32) *Pool {
	var all []*Target
	for i := range n {
		all = append(all, &Target{Name: fmt.Sprint("u", i), Region: "almaty", Slots: slots})
		all[i].SetOwnSlots(slots)
	}
	return &Pool{Tiers: []Tier{{Region: "almaty", Targets: all}}}
}

func balancer(seed uint64) *Balancer { return &Balancer{Random: rand.New(rand.NewPCG(seed, 6)).Uint64} }

func TestSlotsAreNeverExceeded(t *testing.T) {
	is := is.New(t)
	p, b := pool(5, 3), balancer(1)
	var chosen []*Target
	for range 15 {
		u := b.Choose(start, p, "almaty", nil)
		is.True(u != nil) // every free slot is found
		chosen = append(chosen, u)
	}
	is.Equal(b.Choose(start, p, "almaty", nil), nil)
	chosen[0].Release()
	is.Equal(b.Choose(start, p, "almaty", nil), chosen[0])
}

// leastReported is a naive balancer that chooses the target with the lowest reported load.
func leastReported(p *Pool) *Target {
	best := p.Tiers[0].Targets[0]
	for _, u := range p.Tiers[0].Targets {
		if u.report.Load().Load < best.report.Load().Load {
			best = u
		}
	}
	return best
}

// maxOutstanding sends 30 requests between two reports and returns the highest number that one target received.
func maxOutstanding(choose func(p *Pool) *Target) int32 {
	p := pool(10, 100)
	for i, u := range p.Tiers[0].Targets {
		u.SetReport(Report{Load: int32(50 + i), At: start})
	}
	var most int32
	for range 30 {
		u := choose(p)
		most = max(most, u.Outstanding())
	}
	return most
}

// Loads are reported once a second, and all instances receive the same report. If all of them chose the target with the
// lowest load, it would get all requests until the next report, and callers would wait while other targets are idle.
func TestStaleReportsDoNotConcentrateRequests(t *testing.T) {
	is := is.New(t)
	naive := maxOutstanding(func(p *Pool) *Target {
		u := leastReported(p)
		u.Reserve(100)
		return u
	})
	b := balancer(2)
	balanced := maxOutstanding(func(p *Pool) *Target { return b.Choose(start, p, "almaty", nil) })
	is.Equal(naive, int32(30))
	is.True(balanced <= 6)
}

// An instance's own slots are in use while slots of other instances are idle. It may use one of those, but only at a
// target with a low load in a fresh report: otherwise requests of the instance that the slot is assigned to would be
// shed.
func TestBorrowsOnlyWithFreshLowReport(t *testing.T) {
	u := &Target{Slots: 4, Region: "almaty"}
	p := &Pool{Tiers: []Tier{{Region: "almaty", Targets: []*Target{u}}}}
	b := balancer(8)
	cases := []struct {
		name string
		load int32
		age  time.Duration
		want bool
	}{
		{"half idle", 1, 0, true},
		{"half busy", 2, 0, false},
		{"stale report", 0, MaxReportAge, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u.SetReport(Report{Load: c.load, At: start.Add(-c.age)})
			got := b.Choose(start, p, "almaty", nil)
			is.Equal(got != nil, c.want)
			if got != nil {
				is.Equal(b.Choose(start, p, "almaty", nil), nil) // only one borrowed slot at a time
				got.Release()
			}
		})
	}
}

func TestNearTiersComeFirst(t *testing.T) {
	is := is.New(t)
	near, far := pool(1, 2), pool(1, 2)
	p := &Pool{Tiers: []Tier{near.Tiers[0], far.Tiers[0]}}
	b := balancer(3)
	is.Equal(b.Choose(start, p, "almaty", nil), near.Tiers[0].Targets[0])
	is.Equal(b.Choose(start, p, "almaty", nil), near.Tiers[0].Targets[0])
	is.Equal(b.Choose(start, p, "almaty", nil), far.Tiers[0].Targets[0])
	is.Equal(b.Choose(start, p, "astana", nil), nil)
}

func TestNewTargetWarmsUp(t *testing.T) {
	is := is.New(t)
	u := &Target{Slots: 10, FirstSeen: start}
	u.SetOwnSlots(10)
	is.Equal(u.ownLimit(start), int32(1))
	is.Equal(u.ownLimit(start.Add(WarmUpTime/2)), int32(5))
	is.Equal(u.ownLimit(start.Add(WarmUpTime)), int32(10))
}

func TestFailingTargetIsEjectedTemporarily(t *testing.T) {
	is := is.New(t)
	p, b := pool(4, 100), balancer(4)
	bad := p.Tiers[0].Targets[0]
	for range ejectionThreshold {
		bad.Fail(start)
	}
	for range 100 {
		is.True(b.Choose(start, p, "almaty", nil) != bad)
	}
	later := start.Add(minEjection)
	is.True(!bad.Ejected(later))
	bad.Fail(later)
	is.True(bad.Ejected(later.Add(minEjection))) // the next ejection is longer
}

// This instance's own network fails, so that all targets appear to fail. If all of them were ejected, all callers would
// be refused even after the network has recovered.
func TestEjectionNeverEmptiesThePool(t *testing.T) {
	is := is.New(t)
	p, b := pool(4, 100), balancer(5)
	for _, u := range p.Tiers[0].Targets[:3] {
		for range ejectionThreshold {
			u.Fail(start)
		}
	}
	seen := map[*Target]bool{}
	for range 100 {
		seen[b.Choose(start, p, "almaty", nil)] = true
	}
	is.Equal(len(seen), 4)
}

func TestChooseDoesNotAllocate(t *testing.T) {
	p, b := pool(20, 3), balancer(6)
	allocations := testing.AllocsPerRun(1000, func() { b.Choose(start, p, "almaty", nil).Release() })
	is.New(t).Equal(allocations, 0.0)
}

func BenchmarkChoose(b *testing.B) {
	p, l := pool(20, 3), balancer(7)
	b.ReportAllocs()
	for b.Loop() {
		l.Choose(start, p, "almaty", nil).Release()
	}
}

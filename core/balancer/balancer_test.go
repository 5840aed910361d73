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

func TestSlotsAreNeverPassed(t *testing.T) {
	is := is.New(t)
	p, b := pool(5, 3), balancer(1)
	var taken []*Target
	for range 15 {
		u := b.Choose(start, p, "almaty", nil)
		is.True(u != nil) // every slot can be found
		taken = append(taken, u)
	}
	is.Equal(b.Choose(start, p, "almaty", nil), nil)
	taken[0].Release()
	is.Equal(b.Choose(start, p, "almaty", nil), taken[0])
}

// freshest is the naive balancer: it follows the least reported load.
func freshest(p *Pool) *Target {
	best := p.Tiers[0].Targets[0]
	for _, u := range p.Tiers[0].Targets {
		if u.report.Load().Load < best.report.Load().Load {
			best = u
		}
	}
	return best
}

// spread sends 30 requests between two reports and returns the most that one target got.
func spread(choose func(p *Pool) *Target) int32 {
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

// Loads are reported once a second, and every instance sees the same report. If all follow it, everything
// goes to one target until the next report: callers wait there while the others idle.
func TestStaleReportsMakeNoHerd(t *testing.T) {
	is := is.New(t)
	naive := spread(func(p *Pool) *Target {
		u := freshest(p)
		u.Reserve(100)
		return u
	})
	b := balancer(2)
	ours := spread(func(p *Pool) *Target { return b.Choose(start, p, "almaty", nil) })
	is.Equal(naive, int32(30))
	is.True(ours <= 6)
}

// An instance's own slots are taken while others idle. It may use a slot of another instance, but only
// where a fresh report shows room: otherwise the owner's work would be shed.
func TestBorrowing(t *testing.T) {
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
		{"stale report", 0, ReportAge, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u.SetReport(Report{Load: c.load, At: start.Add(-c.age)})
			got := b.Choose(start, p, "almaty", nil)
			is.Equal(got != nil, c.want)
			if got != nil {
				is.Equal(b.Choose(start, p, "almaty", nil), nil) // one at a time
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

func TestColdTargetRamps(t *testing.T) {
	is := is.New(t)
	u := &Target{Slots: 10, FirstSeen: start}
	u.SetOwnSlots(10)
	is.Equal(u.room(start), int32(1))
	is.Equal(u.room(start.Add(WarmUp/2)), int32(5))
	is.Equal(u.room(start.Add(WarmUp)), int32(10))
}

func TestFailingTargetIsEjectedAndComesBack(t *testing.T) {
	is := is.New(t)
	p, b := pool(4, 100), balancer(4)
	bad := p.Tiers[0].Targets[0]
	for range ejectAfter {
		bad.Fail(start)
	}
	for range 100 {
		is.True(b.Choose(start, p, "almaty", nil) != bad)
	}
	later := start.Add(ejectBase)
	is.True(!bad.Ejected(later))
	bad.Fail(later)
	is.True(bad.Ejected(later.Add(ejectBase))) // longer the next time
}

// This instance's own network fails, and every target seems to. Ejecting all of them would refuse every
// caller even after the network is back.
func TestEjectionNeverEmptiesThePool(t *testing.T) {
	is := is.New(t)
	p, b := pool(4, 100), balancer(5)
	for _, u := range p.Tiers[0].Targets[:3] {
		for range ejectAfter {
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

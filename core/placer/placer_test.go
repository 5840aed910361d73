package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/messenger"
)

var start = time.Unix(1000, 0)

func newPlacer(specs ...Spec) *Placer {
	p := &Placer{Region: "r", Zone: "z", InterRegionRTT: 70 * time.Millisecond}
	p.Update(start.Add(-time.Minute), specs, 1)
	return p
}

func spec(name string) Spec {
	return Spec{Name: name, Incarnation: 1, Region: "r", Zone: "z", Slots: 1, OwnSlots: 1}
}

func ticket(priority int32) *Ticket {
	return &Ticket{
		Priority: priority, SoftDeadline: start.Add(500 * time.Millisecond), Deadline: start.Add(2 * time.Second),
		WarmTime: 100 * time.Millisecond, ColdTime: 100 * time.Millisecond, Decided: make(chan Decision, 1),
	}
}

// Guards against requests that wait until their deadline though no target may take them: none announced itself, all
// have been tried, or all are in regions that the route does not allow. The caller could not turn elsewhere in time.
func TestRequestWithoutEligibleTargetIsRefusedAtOnce(t *testing.T) {
	tried, restricted := ticket(0), ticket(0)
	tried.Tried = []string{"a"}
	restricted.Regions = []string{"elsewhere"}
	cases := map[string]struct {
		placer *Placer
		ticket *Ticket
	}{
		"no targets": {newPlacer(), ticket(0)},
		"all tried":  {newPlacer(spec("a")), tried},
		"forbidden":  {newPlacer(spec("a")), restricted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			decision, decided := c.placer.Offer(start, c.ticket)
			is.True(decided && decision.Target == nil)
			is.True(decision.Retry.After(start))
		})
	}
}

// The only slot is taken and two requests wait. The more urgent one arrived later and must be placed first.
func TestMoreUrgentRequestIsPlacedFirst(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"))
	first, _ := p.Offer(start, ticket(0))
	late, urgent := ticket(2), ticket(0)
	for _, k := range []*Ticket{late, urgent} {
		_, decided := p.Offer(start, k)
		is.True(!decided)
	}
	placed := p.Done(start.Add(50*time.Millisecond), first.Target, Outcome{Load: &messenger.Load{Running: 1, Slots: 1}})
	is.Equal(len(placed), 1)
	is.Equal(placed[0].Ticket, urgent)
}

// Guards against a crash of a target that has just started, by as many requests as its slots could take: it may get no
// more than its rate.
func TestColdTargetIsRateLimited(t *testing.T) {
	is := is.New(t)
	cold := spec("a")
	cold.Slots, cold.OwnSlots = 100, 100
	cold.ColdUntil, cold.Rate = start.Add(time.Minute), 5
	p := newPlacer(cold)
	sent := 0
	for i := range 300 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if decision, decided := p.Offer(now, ticket(0)); decided && decision.Target != nil {
			p.Done(now, decision.Target, Outcome{ResponseTime: time.Millisecond, ExpectedTime: time.Millisecond})
			sent++
		}
	}
	is.True(sent > 0 && sent <= 15) // three seconds at five per second
}

// Guards against more requests to a target that can't be reached: it is ejected and the other target takes over at
// once.
func TestUnreachableTargetIsEjected(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"), spec("b"))
	unreachable, _ := p.Offer(start, ticket(0))
	p.Done(start, unreachable.Target, Outcome{Failed: true, Unreachable: true})
	for range 5 {
		next, decided := p.Offer(start, ticket(0))
		is.True(decided && next.Target != nil && next.Target.Name != unreachable.Target.Name)
		p.Done(start, next.Target, Outcome{ResponseTime: time.Millisecond, ExpectedTime: time.Millisecond})
	}
}

// Guards against load that is taken for a failure. When all targets are cold, their queues make answers take many times
// as long as usual; a failure would let all instances of a region switch to another region in the same second.
func TestSlowTargetsDoNotLiftRegionLimit(t *testing.T) {
	is := is.New(t)
	home, away := spec("a"), spec("b")
	away.Region = "elsewhere"
	p := newPlacer(home, away)
	for range 20 {
		decision, decided := p.Offer(start, ticket(0))
		is.True(decided)
		if decision.Target != nil {
			p.Done(start, decision.Target, Outcome{ResponseTime: time.Second, ExpectedTime: 100 * time.Millisecond})
		}
	}
	is.True(!start.Before(p.regionSplit.unlimitedUntil))
}

// Guards against requests that wait in vain for the host of their object and are refused, though another target could
// run them: free slots are few, and the host has just rejected the request.
func TestRequestRejectedByItsHostGoesElsewhere(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"), spec("b"), spec("c"))
	busy := ticket(0)
	busy.Key = "other"
	_, decided := p.Offer(start, busy)
	is.True(decided)
	k := ticket(0)
	k.Key = "object"
	k.Tried = []string{p.hosts.forObject(k.Key)[0].Name}
	decision, decided := p.Offer(start, k)
	is.True(p.snapshot.slotsScarce)
	is.True(decided && decision.Target != nil)
}

// Guards against a wait estimate that stays high after a slow period. For some seconds hardly any request was placed
// because targets were down. When they are back, a request that meets a full target must wait for it; by the slow
// period's rate it would be refused at once, and so would all later ones.
func TestWaitEstimateRecoversAfterSlowPeriod(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"))
	now := start
	at := func(d time.Duration) *Ticket {
		k := ticket(0)
		k.SoftDeadline, k.Deadline = now.Add(300*time.Millisecond), now.Add(d)
		return k
	}
	running, _ := p.Offer(now, at(time.Minute))
	for range 20 {
		_, decided := p.Offer(now, at(time.Minute))
		is.True(!decided)
	}
	for range 10 {
		now = now.Add(time.Second)
		placed := p.Done(now, running.Target, Outcome{ResponseTime: 100 * time.Millisecond})
		is.Equal(len(placed), 1)
		running = placed[0].Decision
	}
	p.queue = nil
	decision, decided := p.Offer(now, at(800*time.Millisecond))
	is.True(decided && decision.Target == nil) // the estimate is still high
	now = now.Add(10 * time.Second)
	_, decided = p.Offer(now, at(800*time.Millisecond))
	is.True(!decided) // the estimate has recovered
}

package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/messenger"
)

// hostTicket is a ticket for an object whose host is a, that can be on time for half a second.
func hostTicket(now time.Time) *Ticket {
	t := ticket(0)
	t.Host, t.Key = "a", "o"
	t.SoftDeadline, t.Deadline = now.Add(500*time.Millisecond), now.Add(2*time.Second)
	return t
}

// sentTo offers a ticket and returns the target that it is sent to, empty if it waits or is refused.
func sentTo(p *Placer, now time.Time, t *Ticket) string {
	d, _ := p.Offer(now, t)
	if d.Target == nil {
		p.Cancel(t)
		return ""
	}
	p.Done(now, d.Target, Outcome{ResponseTime: time.Millisecond, ExpectedTime: time.Millisecond})
	return d.Target.Name
}

// roomySpec is a target with slots to spare.
func roomySpec(name string) Spec {
	return Spec{Name: name, Incarnation: 1, Region: "r", Zone: "z", Slots: 8, OwnSlots: 8}
}

// Guards against a way to a target that does not ask whether it wants requests.
func TestEveryWayToATargetAsksForItsBackoff(t *testing.T) {
	ways := map[string]func(p *Placer, t *Ticket){
		"host":    func(*Placer, *Ticket) {},
		"fastest": func(_ *Placer, t *Ticket) { t.Host = "" },
		"hash":    func(p *Placer, t *Ticket) { t.Host, p.snapshot.slotsScarce = "", true },
		"repeat":  func(_ *Placer, t *Ticket) { t.Tried = []string{"b"} },
		"overflow": func(p *Placer, t *Ticket) {
			t.Host = "b"
			p.overflow.record(start, t.Key, "a")
			p.byName["b"].running = 20
		},
		"unheard": func(p *Placer, _ *Ticket) {
			p.RecordLimit(start.Add(-time.Minute), start.Add(-time.Minute), p.byName["a"], &messenger.Limit{PerSecond: 5})
		},
	}
	for name, prepare := range ways {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPlacer(roomySpec("a"), roomySpec("b"))
			is.True(p.RecordBackoff(start, p.byName["a"], start.Add(3*time.Second)))
			for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(100 * time.Millisecond) {
				ticket := hostTicket(now)
				prepare(p, ticket)
				is.True(sentTo(p, now, ticket) != "a")
			}
		})
	}
}

// Guards against requests that were decided before a target asked for none, and are sent after it: they had to wait for a
// connection.
func TestDecidedRequestsAreWithheld(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"))
	d, _ := p.Offer(start, ticket(0))
	is.Equal(p.Withhold(start, d.Target), "")
	p.RecordBackoff(start, d.Target, start.Add(time.Second))
	is.Equal(p.Withhold(start, d.Target), "backoff")
	p.Done(start, d.Target, Outcome{Withheld: true})
	is.Equal(d.Target.running, int32(0))
	p.Update(start, nil, 1)
	is.Equal(p.Withhold(start.Add(time.Minute), d.Target), "withdrawn")
}

// Guards against a shorter time that replaces a longer one, and against values that would keep a target out of use for
// good.
func TestLongestBackoffHolds(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"))
	a := p.byName["a"]
	is.True(p.RecordBackoff(start, a, start.Add(3*time.Second)))
	is.True(!p.RecordBackoff(start, a, start.Add(time.Second)))
	is.True(!a.usable(start.Add(2 * time.Second)))
	is.True(!p.RecordBackoff(start, newTarget(), start.Add(-time.Second)))
	is.True(p.RecordBackoff(start, a, start.Add(24*time.Hour)))
	is.True(a.usable(start.Add(maxBackoff + maxReturnDelay)))
}

// Guards against a target in need that is met by all requests at once when it takes requests again.
func TestRequestsReturnGradually(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Spec{Name: "a", Incarnation: 1, Region: "r", Zone: "z", Slots: 4, OwnSlots: 4})
	p.RecordBackoff(start, p.byName["a"], start.Add(time.Second))
	now := start.Add(1100 * time.Millisecond)
	for want := range 3 {
		var sent []*Target
		for range 10 {
			one := hostTicket(now)
			if d, _ := p.Offer(now, one); d.Target != nil {
				sent = append(sent, d.Target)
				continue
			}
			p.Cancel(one)
		}
		is.Equal(len(sent), 1<<want)
		now = now.Add(100 * time.Millisecond)
		for _, target := range sent {
			p.Done(now, target, Outcome{ResponseTime: 100 * time.Millisecond, ExpectedTime: 100 * time.Millisecond})
		}
	}
	is.Equal(p.byName["a"].backoff.window, int32(0))
}

// Guards against requests that are refused because all targets of a region want none, though those of others have room:
// moves between regions are slow while nothing is broken.
func TestRequestsLeaveARegionThatWantsNone(t *testing.T) {
	is := is.New(t)
	far := Spec{Name: "far", Incarnation: 1, Region: "far", Zone: "y", Slots: 50, OwnSlots: 50}
	p := newPlacer(spec("a"), spec("b"), far)
	for i := range 100 { // until the instance has settled at its home region
		sentTo(p, start.Add(time.Duration(i-200)*10*time.Millisecond), hostTicket(start))
	}
	p.RecordBackoff(start, p.byName["a"], start.Add(3*time.Second))
	is.True(!p.regionSplit.unlimited(start))
	p.RecordBackoff(start, p.byName["b"], start.Add(3*time.Second))
	is.True(p.regionSplit.unlimited(start))
	for range 10 {
		is.Equal(sentTo(p, start, hostTicket(start)), "far")
	}
}

// Guards against a target that asks for a short backoff each time it is tried again, and turns a large part of all
// requests away.
func TestRepeatedBackoffsGrow(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"))
	a := p.byName["a"]
	tries := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if a.usable(now) {
			tries++
			p.RecordBackoff(now, a, now.Add(100*time.Millisecond))
		}
	}
	is.True(tries >= 5 && tries <= 15)
}

// Guards against a target that gets requests it does not want because it left the control state for a moment, and
// against one that gets none after it has started again.
func TestBackoffHoldsForAnIncarnation(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"))
	until := start.Add(3 * time.Second)
	before := p.byName["a"]
	p.RecordBackoff(start, before, until)
	p.Update(start.Add(time.Second), nil, 1)
	p.Update(start.Add(2*time.Second), []Spec{spec("a")}, 1)
	is.True(!p.byName["a"].usable(start.Add(2 * time.Second)))
	again := spec("a")
	again.Incarnation++
	p.Update(start.Add(2*time.Second), []Spec{again}, 1)
	is.True(p.byName["a"].usable(start.Add(2 * time.Second)))
	is.True(!p.RecordBackoff(start.Add(2*time.Second), before, until.Add(time.Second)))
	is.True(p.byName["a"].usable(start.Add(2 * time.Second)))
	// The answer is received while the target is not in the control state.
	other := newPlacer(spec("a"))
	before = other.byName["a"]
	other.Update(start, nil, 1)
	is.True(other.RecordBackoff(start, before, until))
	other.Update(start, []Spec{spec("a")}, 1)
	is.True(!other.byName["a"].usable(start.Add(2 * time.Second)))
}

// Guards against requests that wait although all targets are known to want none for longer than they may wait, and
// against callers that all come back at the same moment.
func TestRequestsAreRefusedAtOnceWhileAllTargetsWantNone(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"), spec("b"))
	waiting := ticket(0)
	p.byName["a"].running, p.byName["b"].running = 20, 20
	_, decided := p.Offer(start, waiting)
	is.True(!decided)
	p.RecordBackoff(start, p.byName["a"], start.Add(3*time.Second))
	p.RecordBackoff(start, p.byName["b"], start.Add(5*time.Second))
	placed := p.Tick(start)
	is.Equal(len(placed), 1)
	is.True(placed[0].Decision.Target == nil)
	returns := map[time.Time]bool{}
	for range 20 {
		d, decided := p.Offer(start, ticket(0))
		is.True(decided && d.Target == nil)
		is.True(!d.Retry.Before(start.Add(3 * time.Second)))
		is.True(d.Retry.Before(start.Add(4 * time.Second)))
		returns[d.Retry] = true
	}
	is.Equal(len(returns), 20)
}

// Guards against objects that run cold elsewhere because their host wants no requests for a moment, and against requests
// that wait for a host longer than they would take elsewhere.
func TestRequestsWaitForTheirHostWhileThatIsSooner(t *testing.T) {
	for backoff, want := range map[time.Duration]string{50 * time.Millisecond: "", 300 * time.Millisecond: "b", time.Second: "b"} {
		t.Run(backoff.String(), func(t *testing.T) {
			p := newPlacer(roomySpec("a"), roomySpec("b"))
			p.RecordBackoff(start, p.byName["a"], start.Add(backoff))
			ticket := hostTicket(start)
			ticket.ColdTime = 3 * ticket.WarmTime
			is.New(t).Equal(sentTo(p, start, ticket), want)
		})
	}
}

// Guards against a request that waits until it is late after its host has turned it away, because it may go to fewer
// targets than the requests that follow it.
func TestRejectedRequestGoesToTheSubstitute(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"), spec("b"))
	p.byName["b"].running = 1 // room in the queue for an object that is warm there, not for another one
	first := hostTicket(start)
	d, _ := p.Offer(start, first)
	is.Equal(d.Target.Name, "a")
	p.RecordBackoff(start, d.Target, start.Add(3*time.Second))
	p.Done(start, d.Target, Outcome{Failed: true})
	again := hostTicket(start)
	again.Tried = []string{"a"}
	is.Equal(sentTo(p, start, again), "b")
}

// Guards against objects that run cold elsewhere because most targets of a region want no requests of some instance: the few
// others have no room for them.
func TestAdviceIsIgnoredWhereItHoldsForMostTargets(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"), spec("b"), spec("c"))
	p.AvoidUntil(start, "a", 1, start.Add(3*time.Second))
	is.True(p.avoided(start, p.byName["a"]))
	p.AvoidUntil(start, "b", 1, start.Add(time.Second))
	is.True(!p.avoided(start, p.byName["a"]))
	is.Equal(sentTo(p, start, hostTicket(start)), "a")
	is.True(p.avoided(start.Add(2*time.Second), p.byName["a"]))
}

// Guards against an instance that ends because no target of a region may get objects: all want no requests, and some of
// them have joined since the objects were assigned.
func TestObjectsStayWhileAllTargetsWantNone(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"))
	p.SetOwnership(func(uint64) bool { return true }, 0, 1)
	is.Equal(p.Assign(start, AssignRequest{Object: "o", ColdTime: time.Millisecond}).Target, "a")
	p.Update(start.Add(time.Second), []Spec{spec("a"), spec("b")}, 1)
	now := start.Add(2 * time.Second)
	for _, name := range []string{"a", "b"} {
		p.RecordBackoff(now, p.byName[name], now.Add(3*time.Second))
	}
	is.Equal(len(p.Balance(now)), 0)
	is.Equal(p.Assign(now, AssignRequest{Object: "new", ColdTime: time.Millisecond}).Target, "")
}

// Guards against requests that are refused although a target takes them: what it asked of other instances is advice.
func TestAdviceOfOthersDoesNotRefuseRequests(t *testing.T) {
	is := is.New(t)
	p := newPlacer(roomySpec("a"), roomySpec("b"))
	p.AvoidUntil(start, "a", 1, start.Add(3*time.Second))
	is.Equal(sentTo(p, start, hostTicket(start)), "b")
	p.AvoidUntil(start, "b", 1, start.Add(3*time.Second))
	is.Equal(sentTo(p, start, hostTicket(start)), "a")
	without := hostTicket(start)
	without.Host = ""
	is.True(sentTo(p, start, without) != "")
	p.AvoidUntil(start, "a", 2, start.Add(time.Minute)) // another incarnation
	is.True(!p.avoided(start.Add(4*time.Second), p.byName["a"]))
}

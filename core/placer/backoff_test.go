package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/budgeter"
	"chervilrail.example/core/messenger"
)

// need is a time in which a fraction of the targets of each region turn all requests away and ask for none for a while.
type need struct {
	fraction    float64
	from, until time.Duration
	asked       time.Duration
	substitutes substitute
	// ignored has instances not read what targets ask for; sharing is how they tell each other.
	ignored bool
	sharing sharing
}

// sharing is how an instance that is told of a backoff tells the others.
type sharing int

const (
	noSharing sharing = iota
	// bindingSharing has all instances keep away.
	bindingSharing
	// adviceSharing has all instances avoid the target.
	adviceSharing
)

// sender is an instance and a target that it sends to.
type sender struct {
	instance *instance
	target   string
}

// backoffCounts counts the requests that arrive at targets which want none.
type backoffCounts struct {
	// askedAt is when a target asked an instance for no requests, until the end; arrived counts those that came from half a
	// second later on.
	asked, until map[sender]time.Time
	arrived      map[sender]int
	most         int
	rejected     int
}

func (c *backoffCounts) recordSend(at time.Time, e *instance, target string) {
	key := sender{e, target}
	if at.After(c.asked[key].Add(500*time.Millisecond)) && at.Before(c.until[key]) {
		c.arrived[key]++
		c.most = max(c.most, c.arrived[key])
	}
}

// recordBackoff has an instance receive an answer that asks for no requests.
func (r *simulation) recordBackoff(e *instance, target *Target, rejectedAt time.Time) {
	c := &r.backoffs
	if c.asked == nil {
		c.asked, c.until, c.arrived = map[sender]time.Time{}, map[sender]time.Time{}, map[sender]int{}
	}
	c.rejected++
	key := sender{e, target.Name}
	if !rejectedAt.Before(c.until[key]) {
		c.asked[key], c.until[key], c.arrived[key] = rejectedAt, rejectedAt.Add(r.world.need.asked), 0
	}
	if r.world.need.ignored {
		return
	}
	until := r.now.Add(r.world.need.asked)
	if !e.placer.RecordBackoff(r.now, target, until) || r.world.need.sharing == noSharing {
		return
	}
	r.after(publishDelay, func() {
		for _, other := range r.entries {
			if other == e {
				continue
			}
			if r.world.need.sharing == bindingSharing {
				other.placer.RecordBackoff(r.now, other.placer.byName[target.Name], until)
				continue
			}
			other.placer.AvoidUntil(r.now, target.Name, target.Incarnation, until)
		}
	})
}

func (r *simulation) budget(e *instance) *budgeter.Budget {
	if r.budgets == nil {
		r.budgets = map[*instance]*budgeter.Budget{}
	}
	if r.budgets[e] == nil {
		r.budgets[e] = &budgeter.Budget{}
	}
	return r.budgets[e]
}

// retry offers a request that a target turned away again, if targets ask for backoffs in this world and the budget of
// retries allows it.
func (r *simulation) retry(e *instance, k kind, t *Ticket, rejected string, arrived time.Time) bool {
	if r.world.need.asked == 0 || len(t.Tried) > 0 || !r.budget(e).Spend(r.now, len(r.entries)) {
		return false
	}
	next := *t
	next.Tried, next.Decided = append(next.Tried, rejected), make(chan Decision, 1)
	r.place(e, k, &next, arrived)
	return true
}

// startNeed schedules the time in which targets turn all requests away.
func (r *simulation) startNeed() {
	n := r.world.need
	byRegion := map[string]int{}
	for _, s := range r.specs {
		byRegion[s.Region]++
		if float64(byRegion[s.Region]) > n.fraction*float64(r.world.targets[s.Region])+0.999 {
			continue
		}
		r.after(n.from, func() { r.targets[s.Name].inNeed = true })
		r.after(n.until, func() { r.targets[s.Name].inNeed = false })
	}
	for _, e := range r.entries {
		e.placer.substitutes = n.substitutes
	}
}

// The ways that rendezvous is compared with: neverWaits does not wait for hosts, waitsOnTime always does if that is on
// time, byCost goes where the request is expected
// to finish first.
type (
	neverWaits  struct{ rendezvous }
	waitsOnTime struct{ rendezvous }
	byCost      struct{ rendezvous }
)

func (neverWaits) waits(time.Time, time.Time, *Ticket) bool { return false }

func (waitsOnTime) waits(_, resumeAt time.Time, t *Ticket) bool {
	return !resumeAt.Add(t.WarmTime).After(t.SoftDeadline)
}

func (byCost) choose(*Placer, time.Time, *Ticket, *Target) *Target { return nil }

// needWorlds are the worlds in which the ways are compared: few instances that each see much of a target, and many that
// see little of it.
func needWorlds() map[string]world {
	few := world{
		targets: map[string]int{"one": 12, "two": 10, "three": 10}, entries: 4, cacheSize: 22, warmFraction: 0.3,
		separateObjects: true, assignHosts: true,
		kinds: []kind{
			{"view", 128, 640 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second, 2, 80, 1.5},
			{"book", 40, 840 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second, 1, 40, 1.5},
		},
	}
	many := largeWorld()
	many.targets, many.entries = map[string]int{"one": 40, "two": 40, "three": 40}, 20
	for i := range many.kinds {
		many.kinds[i].rate /= 2
		many.kinds[i].objects /= 2
	}
	return map[string]world{"12 instances": few, "60 instances": many}
}

// simulateNeed runs a world in which some targets turn all requests away for a while, and returns the fractions of the
// requests that are on time and refused.
func simulateNeed(seed uint64, w world, n need) (r *simulation, onTime, refused float64) {
	w.need = n
	r = newSimulation(seed, false, w)
	r.startNeed()
	r.run(20*time.Second, 0.3)
	var sum tally
	for _, k := range w.kinds {
		t := r.tallies[k.name]
		sum.offered += t.offered
		sum.onTime += t.onTime
		sum.refused += t.refused
	}
	return r, sum.fraction(sum.onTime), sum.fraction(sum.refused)
}

// Guards against targets that get requests they asked not to get, and against callers that are refused meanwhile although
// other targets have room. A third of the targets turn all requests away for nine seconds. It is the load that decides
// how requests for their objects are placed, and who learns of it.
func TestWaysWithTargetsThatWantNoRequestsCompared(t *testing.T) {
	third := need{fraction: 0.33, from: 6 * time.Second, until: 15 * time.Second, asked: 3 * time.Second}
	ways := map[string]func(n *need){
		"ignored":              func(n *need) { n.ignored = true },
		"kept, not told":       func(*need) {},
		"kept by all":          func(n *need) { n.sharing = bindingSharing },
		"advised":              func(n *need) { n.sharing = adviceSharing },
		"advised, by cost":     func(n *need) { n.sharing, n.substitutes = adviceSharing, byCost{} },
		"advised, waits":       func(n *need) { n.sharing, n.substitutes = adviceSharing, waitsOnTime{} },
		"advised, never waits": func(n *need) { n.sharing, n.substitutes = adviceSharing, neverWaits{} },
	}
	for name, w := range needWorlds() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			onTime, refused := map[string]float64{}, map[string]float64{}
			for way, set := range ways {
				n := third
				set(&n)
				r, a, b := simulateNeed(1, w, n)
				onTime[way], refused[way] = a, b
				t.Logf("%-22s on time %.3f, refused %.3f, turned away %d, most in a backoff %d", way, a, b,
					r.backoffs.rejected, r.backoffs.most)
				is.True(n.ignored || r.backoffs.most <= 2)
			}
			is.True(refused["advised"] < 0.5*refused["ignored"])
			is.True(refused["advised"] < refused["advised, by cost"])
			is.True(refused["advised"] < 1.1*refused["kept, not told"])
			is.True(onTime["advised"] > onTime["ignored"]-0.01)
			all := need{
				fraction: 1, from: 6 * time.Second, until: 9 * time.Second, asked: 3 * time.Second, sharing: adviceSharing,
			}
			_, advised, _ := simulateNeed(1, w, all)
			all.sharing = noSharing
			_, notTold, _ := simulateNeed(1, w, all)
			t.Logf("all targets: on time %.3f, not told %.3f", advised, notTold)
			is.True(advised > notTold-0.03)
		})
	}
}

// Guards against targets in need that get requests they asked not to get, for other lengths of need and of backoffs, and
// where all targets are in need at once.
func TestBackoffsAreKept(t *testing.T) {
	for _, c := range []struct {
		fraction     float64
		length, asks time.Duration
	}{
		{0.01, 500 * time.Millisecond, time.Second},
		{0.33, 9 * time.Second, 200 * time.Millisecond},
		{0.33, 9 * time.Second, time.Minute},
		{1, time.Second, time.Second},
		{1, 3 * time.Second, 3 * time.Second},
	} {
		t.Run(fmt.Sprintf("%g of targets for %s, ask for %s", c.fraction, c.length, c.asks), func(t *testing.T) {
			n := need{
				fraction: c.fraction, from: 6 * time.Second, until: 6*time.Second + c.length, asked: c.asks,
				sharing: adviceSharing,
			}
			r, onTime, refused := simulateNeed(2, needWorlds()["12 instances"], n)
			t.Logf("on time %.3f, refused %.3f, turned away %d", onTime, refused, r.backoffs.rejected)
			is.New(t).True(r.backoffs.most <= 2)
		})
	}
}

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

// Guards against a way to a target that does not ask whether it wants requests.
func TestEveryWayToATargetAsksForItsBackoff(t *testing.T) {
	roomy := func(name string) Spec {
		return Spec{Name: name, Incarnation: 1, Region: "r", Zone: "z", Slots: 8, OwnSlots: 8}
	}
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
			p := newPlacer(roomy("a"), roomy("b"))
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
	roomy := func(name string) Spec {
		return Spec{Name: name, Incarnation: 1, Region: "r", Zone: "z", Slots: 8, OwnSlots: 8}
	}
	for backoff, want := range map[time.Duration]string{50 * time.Millisecond: "", 300 * time.Millisecond: "b", time.Second: "b"} {
		t.Run(backoff.String(), func(t *testing.T) {
			p := newPlacer(roomy("a"), roomy("b"))
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
	roomy := func(name string) Spec {
		return Spec{Name: name, Incarnation: 1, Region: "r", Zone: "z", Slots: 8, OwnSlots: 8}
	}
	p := newPlacer(roomy("a"), roomy("b"))
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

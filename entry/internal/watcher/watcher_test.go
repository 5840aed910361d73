package watcher

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/gauger"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

// controller is a fake controller. It answers each Watch call with the response that the test set last.
type controller struct {
	wireconnect.UnimplementedExchangeHandler

	mu       sync.Mutex
	answer   *wire.WatchResponse
	requests []*wire.WatchRequest
	reports  []*wire.TellRequest
	// delay is how long a Watch call takes.
	delay time.Duration
}

func (c *controller) Tell(
	_ context.Context, r *connect.Request[wire.TellRequest],
) (*connect.Response[wire.TellResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, r.Msg)
	return connect.NewResponse(&wire.TellResponse{}), nil
}

// losses returns how many losses were reported.
func (c *controller) losses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.reports {
		n += len(r.GetLosses())
	}
	return n
}

// reportedLimits returns the limits of targets that were reported.
func (c *controller) reportedLimits() []*wire.RateLimit {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*wire.RateLimit
	for _, r := range c.reports {
		out = append(out, r.GetRatelimits()...)
	}
	return out
}

// reported returns the content of all reports together.
func (c *controller) reported() *wire.TellRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &wire.TellRequest{}
	for _, r := range c.reports {
		proto.Merge(out, r)
	}
	return out
}

func (c *controller) Watch(
	_ context.Context, r *connect.Request[wire.WatchRequest],
) (*connect.Response[wire.WatchResponse], error) {
	c.mu.Lock()
	c.requests = append(c.requests, r.Msg)
	response, delay := c.answer, c.delay
	c.mu.Unlock()
	time.Sleep(delay + 5*time.Millisecond)
	return connect.NewResponse(response), nil
}

func (c *controller) setAnswer(answer *wire.WatchResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer = answer
}

func (c *controller) requestCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// request returns the Watch request with an index.
func (c *controller) request(i int) *wire.WatchRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[i]
}

func startController(t *testing.T, answer *wire.WatchResponse) (*controller, netip.AddrPort) {
	t.Helper()
	c := &controller{answer: answer}
	_, handler := wireconnect.NewExchangeHandler(c)
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return c, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func startWatcher(t *testing.T, seeds ...netip.AddrPort) *Watcher {
	t.Helper()
	w := &Watcher{
		Instance: &wire.Node{Name: "e1", Region: "r", Zone: "z"}, Seeds: seeds, Dialer: &dialer.Dialer{HTTP1Only: true},
		Logger: log.NewNopLogger(), OnView: func(*View) {}, OnLosses: func([]*wire.Loss) {},
	}
	is.New(t).NoErr(w.Start(context.Background(), nil))
	t.Cleanup(func() { is.New(t).NoErr(w.Stop(context.Background())) })
	return w
}

// waitFor waits up to 4 s until the condition is true.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 400 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition was not met within 4 s")
}

func answer(revision, version uint64, linked bool, records ...*wire.Record) *wire.WatchResponse {
	return &wire.WatchResponse{
		Run: 1, Counter: revision, Linked: linked, Confirmed: linked, Revision: revision, Records: records,
		Plan: &wire.Plan{Version: version, Services: []*wire.Service{{Name: "listings"}}},
	}
}

func target(sequence uint64, state wire.TargetState) *wire.Record {
	return &wire.Record{
		Name: "t1", Incarnation: 1, Sequence: sequence, Service: "listings", Address: "10.0.0.1:80", Region: "r", Zone: "z",
		Slots: 3, State: state,
	}
}

func version(w *Watcher) uint64 {
	if v := w.View(); v != nil {
		return v.Table.Plan.GetVersion()
	}
	return 0
}

// Guards against an accepted change that reverts here: the controller that this instance polls lags behind the last
// one, or was restored from an old disk, and answers with older state.
func TestOlderStateIsIgnored(t *testing.T) {
	is := is.New(t)
	c, address := startController(t, answer(5, 3, true))
	w := startWatcher(t, address)
	waitFor(t, func() bool { return version(w) == 3 })
	c.setAnswer(answer(4, 2, true))
	before := c.requestCount()
	waitFor(t, func() bool { return c.requestCount() > before+3 })
	is.Equal(version(w), uint64(3))
	c.setAnswer(answer(6, 4, true))
	waitFor(t, func() bool { return version(w) == 4 })
}

// Guards against an outdated first plan: an instance starts while its first controller can't reach the others. It
// accepts no plan from that controller and has no view.
func TestFirstPlanNeedsALinkedController(t *testing.T) {
	is := is.New(t)
	c, address := startController(t, answer(5, 3, false))
	w := startWatcher(t, address)
	waitFor(t, func() bool { return c.requestCount() > 2 })
	is.True(w.View() == nil)
	c.setAnswer(answer(5, 3, true))
	waitFor(t, func() bool { return version(w) == 3 })
}

// Guards against requests to a target that has left: all controllers restart without its record, and then receive a
// delayed announcement of it. This instance keeps the newer record.
func TestTombstonesOutliveTheControllers(t *testing.T) {
	is := is.New(t)
	c, address := startController(t, answer(5, 3, true, target(1, wire.TargetState_TARGET_READY)))
	w := startWatcher(t, address)
	waitFor(t, func() bool { return w.View() != nil && len(w.View().Targets["listings"]) == 1 })
	c.setAnswer(answer(5, 3, true, target(4, wire.TargetState_TARGET_GONE)))
	waitFor(t, func() bool { return len(w.View().Targets["listings"]) == 0 })
	delayed := answer(5, 3, true, target(2, wire.TargetState_TARGET_READY))
	delayed.Run = 2
	c.setAnswer(delayed)
	before := c.requestCount()
	waitFor(t, func() bool { return c.requestCount() > before+3 })
	is.Equal(len(w.View().Targets["listings"]), 0)
}

// A controller can't reach the others. The instance fails over to one that can.
func TestUnlinkedControllerIsReplaced(t *testing.T) {
	is := is.New(t)
	unlinked, first := startController(t, answer(5, 3, false))
	linked, second := startController(t, answer(6, 4, true))
	w := startWatcher(t, first, second)
	waitFor(t, func() bool { return version(w) == 4 })
	waitFor(t, func() bool { return linked.requestCount() > 20 })
	is.True(unlinked.requestCount() < 3)
}

// All controllers fail. Traffic continues with the last view.
func TestViewOutlivesTheControllers(t *testing.T) {
	is := is.New(t)
	c := &controller{answer: answer(5, 3, true, target(1, wire.TargetState_TARGET_READY))}
	_, handler := wireconnect.NewExchangeHandler(c)
	s := httptest.NewServer(handler)
	w := startWatcher(t, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
	waitFor(t, func() bool { return w.View() != nil })
	s.CloseClientConnections()
	s.Close()
	time.Sleep(200 * time.Millisecond)
	is.Equal(len(w.View().Targets["listings"]), 1)
	is.NoErr(w.Health())
}

// A zone takes requests again after an evacuation. The caches of its targets are cold, and full load would crash them:
// at first only one instance sends to each, at a bounded rate.
func TestReturnedZoneIsCold(t *testing.T) {
	is := is.New(t)
	initial := answer(5, 3, true, target(1, wire.TargetState_TARGET_READY))
	initial.Plan.Services[0].Cold = int64(time.Minute)
	initial.Plan.Services[0].Rate = 8
	initial.Evacuated = []string{"z"}
	c, address := startController(t, initial)
	w := startWatcher(t, address)
	waitFor(t, func() bool { return w.View() != nil })
	is.Equal(len(w.View().Targets["listings"]), 0)
	c.setAnswer(&wire.WatchResponse{Run: 1, Counter: 6, Linked: true, Revision: 6})
	waitFor(t, func() bool { return len(w.View().Targets["listings"]) == 1 })
	spec := w.View().Targets["listings"][0]
	is.True(time.Until(spec.ColdUntil) > 50*time.Second)
	is.Equal(spec.Rate, 8.0)
	is.Equal(spec.OwnSlots, int32(3))
}

// An instance has just started and has no plan. It must report itself as leaving: it would refuse the callers that
// look-ups send to it.
func TestInstanceWithoutAPlanReportsLeaving(t *testing.T) {
	is := is.New(t)
	c, address := startController(t, answer(5, 3, true))
	w := startWatcher(t, address)
	waitFor(t, func() bool { return version(w) == 3 && c.requestCount() > 2 })
	c.mu.Lock()
	defer c.mu.Unlock()
	is.True(c.requests[0].GetNode().GetLeaving())
	is.True(!c.requests[len(c.requests)-1].GetNode().GetLeaving())
}

// Guards against reports that delay a new plan: many targets die, every request that was in flight is reported, and the
// nearest remaining controller is far away. Requests would be routed by the old plan for seconds after a change was
// accepted.
func TestReportsDoNotDelayUpdates(t *testing.T) {
	is := is.New(t)
	c, address := startController(t, answer(5, 3, true))
	w := startWatcher(t, address)
	waitFor(t, func() bool { return version(w) == 3 })
	c.mu.Lock()
	c.delay = 100 * time.Millisecond
	c.mu.Unlock()
	c.setAnswer(answer(6, 4, true))
	reports := 0
	waitFor(t, func() bool {
		w.ReportLoss(&wire.Loss{Target: "t1", Incarnation: uint64(reports)})
		reports++
		return version(w) == 4
	})
	is.True(reports < 100)
	waitFor(t, func() bool { return c.losses() >= reports })
}

// The first controller is in another region. It names one of this region and sends nothing else; from then on the
// instance polls that one, and no longer loads the links between regions.
func TestNearControllerIsPreferred(t *testing.T) {
	is := is.New(t)
	near, second := startController(t, answer(6, 4, true))
	referral := &wire.WatchResponse{Near: []string{second.String()}, Controllers: []string{second.String()}}
	far, first := startController(t, referral)
	w := startWatcher(t, first)
	waitFor(t, func() bool { return version(w) == 4 && near.requestCount() > 10 })
	is.Equal(far.requestCount(), 1)
	is.True(far.request(0).GetFirst())
	is.True(!near.request(0).GetFirst())
}

// Entry instances are reported as changed or lost, one after the other. Each is counted once among those that share the
// targets; otherwise instances would take too large or too small a part of them.
func TestChangedInstancesAreCounted(t *testing.T) {
	is := is.New(t)
	all := answer(5, 3, true)
	all.Whole = true
	for _, name := range []string{"e1", "e2", "e3"} {
		all.Seen = append(all.Seen, &wire.Seen{Node: &wire.Node{Name: name}})
	}
	c, address := startController(t, all)
	w := startWatcher(t, address)
	waitFor(t, func() bool { return w.View() != nil && w.View().InstanceCount == 3 })
	lost := &wire.Seen{Node: &wire.Node{Name: "e2", Lost: true}}
	added := &wire.Seen{Node: &wire.Node{Name: "e4"}}
	c.setAnswer(&wire.WatchResponse{Run: 1, Counter: 6, Linked: true, Revision: 5, Seen: []*wire.Seen{lost}})
	waitFor(t, func() bool { return w.View().InstanceCount == 2 })
	c.setAnswer(&wire.WatchResponse{Run: 1, Counter: 7, Linked: true, Revision: 5, Seen: []*wire.Seen{added}})
	waitFor(t, func() bool { return w.View().InstanceCount == 3 })
	is.True(c.requestCount() > 2)
}

// Guards against loads that are not passed on by the one instance to which a target reported them, and against hosts
// and loads that are requested again although they were received.
func TestLoadsAndHostsArePassedOn(t *testing.T) {
	is := is.New(t)
	c, address := startController(t, &wire.WatchResponse{
		Run: 1, Counter: 1, Linked: true, Hosted: 4, Loaded: 9, Hosts: []*wire.Host{{Object: 1, Target: "t1"}},
		Loads: gauger.Encode([]gauger.Reading{{Target: 7, PerSlot: 1.5}}),
	})
	hosts, loads := make(chan []*wire.Host, 100), make(chan []gauger.Reading, 100)
	w := &Watcher{
		Instance: &wire.Node{Name: "e1", Region: "r"}, Seeds: []netip.AddrPort{address}, Dialer: &dialer.Dialer{HTTP1Only: true},
		Logger: log.NewNopLogger(), OnView: func(*View) {}, OnHosts: func(list []*wire.Host) { hosts <- list },
		OnLoads: func(list []gauger.Reading) { loads <- list },
	}
	w.Observe(gauger.Reading{Target: 3, PerSlot: 2})
	is.NoErr(w.Start(context.Background(), nil))
	is.Equal((<-hosts)[0].GetTarget(), "t1")
	is.Equal((<-loads)[0], gauger.Reading{Target: 7, PerSlot: 1.5})
	<-loads
	is.NoErr(w.Stop(context.Background()))
	c.mu.Lock()
	defer c.mu.Unlock()
	is.Equal(gauger.Decode(c.requests[0].GetLoads()), []gauger.Reading{{Target: 3, PerSlot: 2}})
	is.Equal(len(c.requests[1].GetLoads().GetTargets()), 0)
	is.Equal(c.requests[1].GetHosted(), uint64(4))
	is.Equal(c.requests[1].GetLoaded(), uint64(9))
}

// Guards against an instance that asks a controller for everything again because another one answered in between: each
// failed call would then make the overloaded controllers work more.
func TestPositionsOfControllersAreKept(t *testing.T) {
	is := is.New(t)
	first, firstAddress := startController(t, answer(3, 1, true, target(1, wire.TargetState_TARGET_READY)))
	second, secondAddress := startController(t, answer(5, 1, true))
	w := startWatcher(t, firstAddress)
	waitFor(t, func() bool { return first.requestCount() > 1 })
	w.SetSeeds([]netip.AddrPort{firstAddress, secondAddress})
	first.setAnswer(answer(3, 1, false)) // it loses the others: the instance turns to the second
	waitFor(t, func() bool { return second.requestCount() > 1 })
	first.setAnswer(answer(3, 1, true))
	count := first.requestCount()
	second.setAnswer(answer(5, 1, false))
	waitFor(t, func() bool { return first.requestCount() > count })
	back := first.request(count)
	is.Equal(back.GetRun(), uint64(1))
	is.Equal(back.GetCounter(), uint64(3))
	is.Equal(back.GetObserved(), uint64(0)) // instances have no order of their own
}

// Guards against hundreds of instances that take the controllers the time which they need to elect a leader.
func TestRetriesAreSpacedOut(t *testing.T) {
	is := is.New(t)
	c, address := startController(t, answer(3, 1, false))
	startWatcher(t, address)
	time.Sleep(1500 * time.Millisecond)
	is.True(c.requestCount() <= 12) // 25 with 50 ms between them
}

// Guards against an instance that starts to place objects by the first part of the targets, and moves most of them with
// the next.
func TestFirstViewWaitsForAllParts(t *testing.T) {
	is := is.New(t)
	part := answer(3, 1, true, target(1, wire.TargetState_TARGET_READY))
	part.Partial = true
	c, address := startController(t, part)
	w := startWatcher(t, address)
	waitFor(t, func() bool { return c.requestCount() > 3 })
	is.True(w.View() == nil)
	c.setAnswer(&wire.WatchResponse{Run: 1, Counter: 4, Linked: true, Revision: 3})
	waitFor(t, func() bool { return w.View() != nil })
	is.Equal(len(w.View().Targets["listings"]), 1)
}

// Guards against an instance that uses an old plan for as long as its link is full: each answer of a controller comes
// later than it waits, and asked again it sends the same once more.
func TestLateAnswersArrive(t *testing.T) {
	is := is.New(t)
	c, address := startController(t, answer(3, 1, true))
	c.delay = callTimeout + 400*time.Millisecond
	w := startWatcher(t, address)
	deadline := time.Now().Add(20 * time.Second) // with one time-out for all calls, none would ever be answered
	for w.View() == nil && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(w.View() != nil)
}

// Guards against a limit that an instance never learns, and against one that is forgotten with all controllers while
// instances that were not told go on sending.
func TestLimitsOfTargetsAreAppliedAndReportedAgain(t *testing.T) {
	is := is.New(t)
	limited := answer(5, 3, true, target(1, wire.TargetState_TARGET_READY))
	limited.Ratelimits = []*wire.RateLimit{{Target: "t1", Incarnation: 1, Named: true, Rate: 1.5, Version: 2}}
	c, address := startController(t, limited)
	w := startWatcher(t, address)
	waitFor(t, func() bool { return w.View() != nil })
	limit := w.View().Targets["listings"][0].Limit
	is.True(limit.Named && limit.Rate == 1.5 && limit.Version == 2)
	position, total := w.View().Position("t1", "r")
	is.True(position == 0 && total == 1)
	is.Equal(len(c.reportedLimits()), 0)
	restarted := answer(5, 3, true)
	restarted.Run = 2
	c.setAnswer(restarted)
	waitFor(t, func() bool { return len(c.reportedLimits()) > 0 })
	is.Equal(c.reportedLimits()[0].GetVersion(), uint64(2))
	older := answer(5, 3, true)
	older.Ratelimits = []*wire.RateLimit{{Target: "t1", Incarnation: 1, Version: 1}}
	c.setAnswer(older)
	before := c.requestCount()
	waitFor(t, func() bool { return c.requestCount() > before+3 })
	is.True(w.View().Targets["listings"][0].Limit.Named)
}

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

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/gauger"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

// controller answers each call with what the test set last.
type controller struct {
	wireconnect.UnimplementedExchangeHandler

	mu     sync.Mutex
	answer *wire.WatchResponse
	asked  []*wire.WatchRequest
	told   []*wire.TellRequest
	// slow is how long an answer takes.
	slow time.Duration
}

func (c *controller) Tell(
	_ context.Context, r *connect.Request[wire.TellRequest],
) (*connect.Response[wire.TellResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = append(c.told, r.Msg)
	return connect.NewResponse(&wire.TellResponse{}), nil
}

// losses counts the reports that were told.
func (c *controller) losses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.told {
		n += len(r.GetLosses())
	}
	return n
}

func (c *controller) Watch(
	_ context.Context, r *connect.Request[wire.WatchRequest],
) (*connect.Response[wire.WatchResponse], error) {
	c.mu.Lock()
	c.asked = append(c.asked, r.Msg)
	response, slow := c.answer, c.slow
	c.mu.Unlock()
	time.Sleep(slow + 5*time.Millisecond)
	return connect.NewResponse(response), nil
}

func (c *controller) set(answer *wire.WatchResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer = answer
}

func (c *controller) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.asked)
}

func serve(t *testing.T, answer *wire.WatchResponse) (*controller, netip.AddrPort) {
	t.Helper()
	c := &controller{answer: answer}
	_, handler := wireconnect.NewExchangeHandler(c)
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return c, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func begin(t *testing.T, seeds ...netip.AddrPort) *Watcher {
	t.Helper()
	w := &Watcher{
		Node: &wire.Node{Name: "e1", Region: "r", Zone: "z"}, Seeds: seeds, Dialer: &dialer.Dialer{HTTP1Only: true},
		Logger: log.NewNopLogger(), Changed: func(*View) {}, Losses: func([]*wire.Loss) {},
	}
	is.New(t).NoErr(w.Start(context.Background(), nil))
	t.Cleanup(func() { is.New(t).NoErr(w.Stop(context.Background())) })
	return w
}

func until(t *testing.T, condition func() bool) {
	t.Helper()
	for range 400 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("never came true")
}

func answer(revision, version uint64, linked bool, records ...*wire.Record) *wire.WatchResponse {
	return &wire.WatchResponse{
		Run: 1, Counter: revision, Linked: linked, Revision: revision, Records: records,
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

// The controller that this instance turns to lags behind the last one, or came back with an old disk. Followed, a
// change that was accepted and in force would revert here.
func TestOlderStateIsNotTaken(t *testing.T) {
	is := is.New(t)
	c, address := serve(t, answer(5, 3, true))
	w := begin(t, address)
	until(t, func() bool { return version(w) == 3 })
	c.set(answer(4, 2, true))
	at := c.count()
	until(t, func() bool { return c.count() > at+3 })
	is.Equal(version(w), uint64(3))
	c.set(answer(6, 4, true))
	until(t, func() bool { return version(w) == 4 })
}

// An instance starts while its first controller is cut off. That one's plan may be an old one, so none is taken, and
// callers are told that nothing is known yet.
func TestFirstPlanNeedsAControllerInTouch(t *testing.T) {
	is := is.New(t)
	c, address := serve(t, answer(5, 3, false))
	w := begin(t, address)
	until(t, func() bool { return c.count() > 2 })
	is.True(w.View() == nil)
	c.set(answer(5, 3, true))
	until(t, func() bool { return version(w) == 3 })
}

// A target has left, and all controllers restart and forget it. Its delayed announcement reaches them now; this
// instance still knows better.
func TestGravestonesOutliveTheControllers(t *testing.T) {
	is := is.New(t)
	c, address := serve(t, answer(5, 3, true, target(1, wire.TargetState_TARGET_READY)))
	w := begin(t, address)
	until(t, func() bool { return w.View() != nil && len(w.View().Targets["listings"]) == 1 })
	c.set(answer(5, 3, true, target(4, wire.TargetState_TARGET_GONE)))
	until(t, func() bool { return len(w.View().Targets["listings"]) == 0 })
	late := answer(5, 3, true, target(2, wire.TargetState_TARGET_READY))
	late.Run = 2
	c.set(late)
	at := c.count()
	until(t, func() bool { return c.count() > at+3 })
	is.Equal(len(w.View().Targets["listings"]), 0)
}

// The controller loses touch with the others. The instance turns to one that has not.
func TestCutOffControllerIsLeft(t *testing.T) {
	is := is.New(t)
	cut, first := serve(t, answer(5, 3, false))
	good, second := serve(t, answer(6, 4, true))
	w := begin(t, first, second)
	until(t, func() bool { return version(w) == 4 })
	until(t, func() bool { return good.count() > 20 })
	is.True(cut.count() < 3)
}

// Controllers fail altogether. Traffic goes on with the last view.
func TestViewOutlivesTheControllers(t *testing.T) {
	is := is.New(t)
	c := &controller{answer: answer(5, 3, true, target(1, wire.TargetState_TARGET_READY))}
	_, handler := wireconnect.NewExchangeHandler(c)
	s := httptest.NewServer(handler)
	w := begin(t, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
	until(t, func() bool { return w.View() != nil })
	s.CloseClientConnections()
	s.Close()
	time.Sleep(200 * time.Millisecond)
	is.Equal(len(w.View().Targets["listings"]), 1)
	is.NoErr(w.Health())
}

// A zone was empty for a while and takes requests again. Its targets' caches are cold, and a rush would crash them:
// only one instance sends to each at first, at a bounded rate.
func TestReturnedZoneIsCold(t *testing.T) {
	is := is.New(t)
	full := answer(5, 3, true, target(1, wire.TargetState_TARGET_READY))
	full.Plan.Services[0].Cold = int64(time.Minute)
	full.Plan.Services[0].Rate = 8
	full.Evacuated = []string{"z"}
	c, address := serve(t, full)
	w := begin(t, address)
	until(t, func() bool { return w.View() != nil })
	is.Equal(len(w.View().Targets["listings"]), 0)
	c.set(&wire.WatchResponse{Run: 1, Counter: 6, Linked: true, Revision: 6})
	until(t, func() bool { return len(w.View().Targets["listings"]) == 1 })
	spec := w.View().Targets["listings"][0]
	is.True(time.Until(spec.ColdUntil) > 50*time.Second)
	is.Equal(spec.Rate, 8.0)
	is.Equal(spec.OwnSlots, int32(3))
}

// An instance has just started and knows no plan. Named in look-ups already, it would refuse every caller sent to it.
func TestInstanceWithoutAPlanIsNotNamed(t *testing.T) {
	is := is.New(t)
	c, address := serve(t, answer(5, 3, true))
	w := begin(t, address)
	until(t, func() bool { return version(w) == 3 && c.count() > 2 })
	c.mu.Lock()
	defer c.mu.Unlock()
	is.True(c.asked[0].GetNode().GetLeaving())
	is.True(!c.asked[len(c.asked)-1].GetNode().GetLeaving())
}

// Targets die by the dozen and every request that was in flight is reported, while the nearest controller that is left
// is far away. The reports must not keep the plan from coming: callers would be sent by an old one for seconds after a
// change was accepted.
func TestReportsDoNotKeepNewsAway(t *testing.T) {
	is := is.New(t)
	c, address := serve(t, answer(5, 3, true))
	w := begin(t, address)
	until(t, func() bool { return version(w) == 3 })
	c.mu.Lock()
	c.slow = 100 * time.Millisecond
	c.mu.Unlock()
	c.set(answer(6, 4, true))
	reports := 0
	until(t, func() bool {
		w.Report(&wire.Loss{Target: "t1", Incarnation: uint64(reports)})
		reports++
		return version(w) == 4
	})
	is.True(reports < 100)
	until(t, func() bool { return c.losses() >= reports })
}

// The controller that is asked first is in another region. It names one that is nearer and sends nothing else; after
// that, news comes from the near one, and no longer loads the links between regions.
func TestNearControllerIsPreferred(t *testing.T) {
	is := is.New(t)
	near, second := serve(t, answer(6, 4, true))
	nearest := &wire.WatchResponse{Near: []string{second.String()}, Controllers: []string{second.String()}}
	far, first := serve(t, nearest)
	w := begin(t, first)
	until(t, func() bool { return version(w) == 4 && near.count() > 10 })
	is.Equal(far.count(), 1)
	is.True(far.asked[0].GetFirst())
	is.True(!near.asked[0].GetFirst())
}

// One entry instance after the other is told as changed or gone. Each is counted once among those that share the targets,
// or each would take too much or too little of them.
func TestChangedInstancesAreCounted(t *testing.T) {
	is := is.New(t)
	all := answer(5, 3, true)
	all.Whole = true
	for _, name := range []string{"e1", "e2", "e3"} {
		all.Seen = append(all.Seen, &wire.Seen{Node: &wire.Node{Name: name}})
	}
	c, address := serve(t, all)
	w := begin(t, address)
	until(t, func() bool { return w.View() != nil && w.View().Entries == 3 })
	gone := &wire.Seen{Node: &wire.Node{Name: "e2", Lost: true}}
	more := &wire.Seen{Node: &wire.Node{Name: "e4"}}
	c.set(&wire.WatchResponse{Run: 1, Counter: 6, Linked: true, Revision: 5, Seen: []*wire.Seen{gone}})
	until(t, func() bool { return w.View().Entries == 2 })
	c.set(&wire.WatchResponse{Run: 1, Counter: 7, Linked: true, Revision: 5, Seen: []*wire.Seen{more}})
	until(t, func() bool { return w.View().Entries == 3 })
	is.True(c.count() > 2)
}

// Guards against reports of targets that stay with the one instance that got them, and against hosts and loads that are
// asked for again and again.
func TestLoadsAndHostsArePassedOn(t *testing.T) {
	is := is.New(t)
	c, address := serve(t, &wire.WatchResponse{
		Run: 1, Counter: 1, Linked: true, Hosted: 4, Loaded: 9, Hosts: []*wire.Host{{Object: 1, Target: "t1"}},
		Loads: gauger.Encode([]gauger.Reading{{Target: 7, PerSlot: 1.5}}),
	})
	hosts, loads := make(chan []*wire.Host, 100), make(chan []gauger.Reading, 100)
	w := &Watcher{
		Node: &wire.Node{Name: "e1", Region: "r"}, Seeds: []netip.AddrPort{address}, Dialer: &dialer.Dialer{HTTP1Only: true},
		Logger: log.NewNopLogger(), Changed: func(*View) {}, Hosts: func(list []*wire.Host) { hosts <- list },
		Loads: func(list []gauger.Reading) { loads <- list },
	}
	w.Observe(gauger.Reading{Target: 3, PerSlot: 2})
	is.NoErr(w.Start(context.Background(), nil))
	is.Equal((<-hosts)[0].GetTarget(), "t1")
	is.Equal((<-loads)[0], gauger.Reading{Target: 7, PerSlot: 1.5})
	<-loads
	is.NoErr(w.Stop(context.Background()))
	c.mu.Lock()
	defer c.mu.Unlock()
	is.Equal(gauger.Decode(c.asked[0].GetLoads()), []gauger.Reading{{Target: 3, PerSlot: 2}})
	is.Equal(len(c.asked[1].GetLoads().GetTargets()), 0)
	is.Equal(c.asked[1].GetHosted(), uint64(4))
	is.Equal(c.asked[1].GetLoaded(), uint64(9))
}

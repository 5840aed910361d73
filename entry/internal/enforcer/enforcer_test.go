package enforcer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/planner"
	"chervilrail.example/core/quoter"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
	"chervilrail.example/entry/internal/locator"
	"chervilrail.example/entry/internal/watcher"
)

const window = 5 * time.Second

// controller allots parts of quotas like a leader, or fails.
type controller struct {
	wireconnect.UnimplementedExchangeHandler
	mu       sync.Mutex
	allotter quoter.Allotter
	failing  bool
}

func (c *controller) Allot(
	_ context.Context, r *connect.Request[wire.AllotRequest],
) (*connect.Response[wire.AllotResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing {
		return nil, connect.NewError(connect.CodeUnavailable, &quoter.SuspendedError{})
	}
	response, err := c.allotter.Allot(time.Now(), r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

func (c *controller) fail(failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = failing
}

// region consists of entry instances that reach each other, and one controller.
type region struct {
	controller  *controller
	address     netip.AddrPort
	enforcers   map[string]*Enforcer
	mu          sync.Mutex
	unreachable map[string]bool
	peers       []locator.Peer
	// calls counts the calls between instances.
	calls atomic.Int32
}

func (r *region) Controller() (netip.AddrPort, bool) { return r.address, true }

func (r *region) Owner(peers []locator.Peer, _ uint64) locator.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range peers {
		if !r.unreachable[p.Name] {
			return p
		}
	}
	return locator.Peer{}
}

func (r *region) SpendAt(ctx context.Context, owner locator.Peer, s *wire.SpendRequest) (*wire.SpendResponse, error) {
	r.calls.Add(1)
	if owner.Name == "frozen" {
		r.mu.Lock()
		r.unreachable[owner.Name] = true
		r.mu.Unlock()
		return nil, &quoter.SuspendedError{}
	}
	return r.enforcers[owner.Name].Spend(ctx, s), nil
}

func plan() *wire.Plan {
	rate := 4.0
	return &wire.Plan{Version: 1, Organisations: []*wire.Organisation{{Name: "acme", Rate: &rate}}}
}

func newRegion(t *testing.T, peers ...string) *region {
	t.Helper()
	c := &controller{allotter: quoter.Allotter{
		Tolerance: quoter.Tolerance{Window: window}, Term: 1, ElectedAt: time.Now(), Lease: time.Minute, Holdoff: time.Second,
	}}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewExchangeHandler(c))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	r := &region{
		controller: c, address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
		enforcers: map[string]*Enforcer{}, unreachable: map[string]bool{},
	}
	var listed []*wire.QuotaHolder
	for _, name := range peers {
		r.peers = append(r.peers, locator.Peer{Name: name})
		listed = append(listed, &wire.QuotaHolder{Name: name, Incarnation: 1})
	}
	c.allotter.Update(plan(), listed, []string{"acme"})
	for i, name := range peers {
		a := &Enforcer{
			Self: listed[i], Controllers: r, Peers: r, Dialer: &dialer.Dialer{HTTP1Only: true}, Logger: log.NewNopLogger(),
		}
		r.enforcers[name] = a
		c.allotter.MarkNew(listed[i])
	}
	for name, a := range r.enforcers { // each may call the controller and the others from now on
		if name == "frozen" {
			continue
		}
		is.New(t).NoErr(a.Start(context.Background(), nil))
		t.Cleanup(func() { is.New(t).NoErr(a.Stop(context.Background())) })
		a.Update(time.Now(), r.view(plan()))
	}
	return r
}

// view returns a view with so many entry instances that one of them holds the region's part.
func (r *region) view(p *wire.Plan) *watcher.View {
	return &watcher.View{Table: planner.NewTable(p), InstanceCount: 100, Peers: r.peers}
}

func (r *region) admit(name string) quoter.Verdict {
	now := time.Now()
	return r.enforcers[name].Admit(context.Background(), "acme", now.Add(time.Second), now.Add(10*time.Second))
}

// Guards against instances that each hold a part too small for one request, and against more requests than the quota.
func TestOneInstanceCountsForTheRegion(t *testing.T) {
	is := is.New(t)
	r := newRegion(t, "a", "b")
	granted := 0
	for i := range 30 {
		v := r.admit([]string{"a", "b"}[i%2])
		if v.Outcome == quoter.Granted {
			granted++
			is.Equal(v.Peer, []string{"", "a"}[i%2])
			continue
		}
		is.Equal(v.Outcome, quoter.Exceeded)
		is.True(v.RetryAt.After(time.Now()))
	}
	is.Equal(granted, 20) // four a second for five seconds
}

// Guards against requests that are refused because the instance that counts for the region does not answer.
func TestUnresponsiveOwnerIsReplaced(t *testing.T) {
	is := is.New(t)
	r := newRegion(t, "frozen", "b")
	v := r.admit("b")
	is.Equal(v.Outcome, quoter.Granted)
	is.Equal(v.Peer, "")
}

// Guards against requests that are admitted without being counted by an instance that does not know their organisation
// yet.
func TestUnknownOrganisationIsNotGranted(t *testing.T) {
	is := is.New(t)
	r := newRegion(t, "a", "b")
	older := plan()
	older.Organisations = nil
	r.enforcers["a"].Update(time.Now(), r.view(older))
	v := r.admit("b")
	is.True(v.Outcome != quoter.Granted)
}

// Guards against a quota that is used up by requests which have not run.
func TestRequestsThatDidNotRunAreReturnedToTheOwner(t *testing.T) {
	is := is.New(t)
	r := newRegion(t, "a", "b")
	for range 20 {
		is.Equal(r.admit("a").Outcome, quoter.Granted)
	}
	last := quoter.Verdict{CountedAt: time.Now(), Peer: "a"}
	r.enforcers["b"].Return("acme", last)
	time.Sleep(50 * time.Millisecond)
	is.Equal(r.admit("b").Outcome, quoter.Granted)
	is.Equal(r.admit("b").Outcome, quoter.Exceeded)
}

// Guards against requests that are refused at once while no controller answers for a moment.
func TestRequestsWaitForAController(t *testing.T) {
	is := is.New(t)
	r := newRegion(t, "a", "b")
	r.controller.fail(true)
	time.AfterFunc(400*time.Millisecond, func() { r.controller.fail(false) })
	for range 20 {
		is.Equal(r.admit("b").Outcome, quoter.Granted)
	}
}

// Guards against an instance that has no time left to update its plan. While the instance that counts for its
// region did not know an organisation, each waiting request called it again every few milliseconds.
func TestCallsOfWaitingRequestsAreRateLimited(t *testing.T) {
	is := is.New(t)
	r := newRegion(t, "a", "b")
	older := plan()
	older.Organisations = nil
	r.enforcers["a"].Update(time.Now(), r.view(older))
	const requests = 50
	var waiting sync.WaitGroup
	for range requests {
		waiting.Go(func() { r.admit("b") })
	}
	waiting.Wait()
	is.True(r.calls.Load() < 2*requests)
	r.enforcers["a"].Update(time.Now(), r.view(plan()))
	is.Equal(r.admit("b").Outcome, quoter.Granted)
}

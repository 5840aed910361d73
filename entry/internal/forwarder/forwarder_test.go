package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilrail.example/core/balancer"
	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/chooser"
	"chervilrail.example/core/granter"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/directory"
	"chervilrail.example/entry/internal/refuser"
)

const testCatalogue = `
[region almaty]
zones = almaty-a
cap = 100000
floor = 1

[service listings]
regions = almaty

[entry all]
service = listings
owner = club
class = browse
timeout = 2s

[entry rsvp]
service = listings
owner = club
class = once
path = /rsvp
timeout = 2s

[entry photos]
service = listings
owner = club
class = upload
path = /photos
body = 100000000
`

// fakeViews is a directory whose catalogue is always confirmed.
type fakeViews struct{ view *directory.View }

func (v *fakeViews) View() *directory.View           { return v.view }
func (v *fakeViews) Confirmed(time.Time) bool        { return true }
func (v *fakeViews) RetryAt(now time.Time) time.Time { return now.Add(time.Second) }
func (v *fakeViews) RequestHeartbeat()               {}
func (v *fakeViews) SetSpare(int64)                  {}
func (v *fakeViews) BroadcastLoss(*wire.Loss)        {}

// fakeLedger grants every claim, unless it is unusable, and records what is settled.
type fakeLedger struct {
	mu       sync.Mutex
	settled  []*wire.Settle
	unusable bool
}

func (l *fakeLedger) Claim(ctx context.Context, _ *wire.Claim) (*wire.ClaimResult, error) {
	if l.unusable {
		return nil, context.DeadlineExceeded
	}
	return &wire.ClaimResult{State: wire.ClaimState_CLAIM_GRANTED}, ctx.Err()
}

func (l *fakeLedger) Settle(_ context.Context, s *wire.Settle) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settled = append(l.settled, s)
	return nil
}

// testInstance is a forwarder for the given targets, served over HTTP.
type testInstance struct {
	*httptest.Server
	forwarder *Forwarder
	ledger    *fakeLedger
}

func newTestInstance(t *testing.T, targets ...string) *testInstance {
	t.Helper()
	is := is.New(t)
	c, err := cataloguer.Parse("test", []byte(testCatalogue))
	is.NoErr(err)
	pool := &balancer.Pool{Tiers: []balancer.Tier{{Region: "almaty"}}}
	for _, address := range targets {
		u := &balancer.Target{Name: address, Address: netip.MustParseAddrPort(address), Region: "almaty", Slots: 4}
		u.SetOwnSlots(u.Slots)
		pool.Tiers[0].Targets = append(pool.Tiers[0].Targets, u)
	}
	views := &fakeViews{&directory.View{
		Catalogue: c,
		Pools:     map[string]*balancer.Pool{"listings": pool},
		Instances: chooser.New(nil, nil, nil),
	}}
	out := &testInstance{ledger: &fakeLedger{}}
	out.forwarder = &Forwarder{
		Instance: "e1", Region: "almaty", Views: views, Holder: &granter.Holder{}, Ledger: out.ledger,
		LossBroadcaster: views, Quarantine: &quarantiner.Quarantiner{}, Logger: log.NewNopLogger(),
		Metrics: NewMetrics(prometheus.NewRegistry()), Sample: 1,
	}
	is.NoErr(out.forwarder.Start(context.Background(), nil))
	out.Server = httptest.NewServer(out.forwarder)
	t.Cleanup(func() {
		out.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		is.NoErr(out.forwarder.Stop(ctx))
	})
	return out
}

func (f *testInstance) send(t *testing.T, method, path, body string, header http.Header) *http.Response {
	t.Helper()
	r, err := http.NewRequest(method, f.URL+path, strings.NewReader(body))
	is.New(t).NoErr(err)
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set(refuser.HeaderService, "listings")
	response, err := http.DefaultClient.Do(r)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func assertOutcome(t *testing.T, r *http.Response, status int, outcome refuser.Outcome) {
	t.Helper()
	is := is.New(t)
	is.Equal(r.StatusCode, status)
	is.Equal(r.Header.Get(refuser.HeaderOutcome), string(outcome))
}

func keyHeader(t *testing.T) http.Header {
	t.Helper()
	id, err := uuid.NewV7()
	is.New(t).NoErr(err)
	return http.Header{headerKey: {id.String()}}
}

// breakingTarget is a target that answers the first request of a connection, then reads a second one and closes the
// connection without an answer. It counts the requests that it has read.
type breakingTarget struct {
	net.Listener
	reads atomic.Int32
}

func newBreakingTarget(t *testing.T) *breakingTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	b := &breakingTarget{Listener: l}
	go b.serve()
	t.Cleanup(func() { _ = l.Close() })
	return b
}

func (b *breakingTarget) serve() {
	for {
		c, err := b.Accept()
		if err != nil {
			return
		}
		go b.serveConnection(c)
	}
}

func (b *breakingTarget) serveConnection(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for i := range 2 {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		b.reads.Add(1)
		if i == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// Guards against an HTTP client that resends a request which must not repeat. The target fails after it has read the
// request on a kept-alive connection; the client considers it safe to resend because of its Idempotency-Key, and the
// request could run twice.
func TestClientDoesNotResendOnceRequests(t *testing.T) {
	t.Run("naive", func(t *testing.T) {
		is := is.New(t)
		b := newBreakingTarget(t)
		for range 2 {
			r, err := http.NewRequest(http.MethodPost, "http://"+b.Addr().String()+"/rsvp", strings.NewReader("seat"))
			is.NoErr(err)
			r.Header = keyHeader(t)
			if response, err := http.DefaultClient.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}
		is.Equal(b.reads.Load(), int32(3)) // the second request was read twice
	})
	for _, body := range []string{"seat", ""} {
		t.Run("forwarder with body "+body, func(t *testing.T) {
			is := is.New(t)
			b := newBreakingTarget(t)
			f := newTestInstance(t, b.Addr().String())
			is.Equal(f.send(t, http.MethodPost, "/rsvp", body, keyHeader(t)).StatusCode, http.StatusOK)
			assertOutcome(t, f.send(t, http.MethodPost, "/rsvp", body, keyHeader(t)),
				http.StatusBadGateway, refuser.Unknown)
			is.Equal(b.reads.Load(), int32(2))
		})
	}
}

// Guards against a refusal that claims not-run although an earlier attempt may have run. The first attempt breaks off
// after it was sent, and no other target is left for a second one.
func TestUnknownOutcomeIsKeptWithoutAnotherTarget(t *testing.T) {
	b := newBreakingTarget(t)
	f := newTestInstance(t, b.Addr().String())
	is.New(t).Equal(f.send(t, http.MethodPut, "/a", "x", nil).StatusCode, http.StatusOK)
	r := f.send(t, http.MethodPut, "/a", "x", nil)
	is.New(t).Equal(r.Header.Get(refuser.HeaderOutcome), string(refuser.Unknown))
}

func TestNotRunIsReportedWhenCertain(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	is.New(t).NoErr(closed.Close())
	f := newTestInstance(t, closed.Addr().String())
	t.Run("no listener", func(t *testing.T) {
		assertOutcome(t, f.send(t, http.MethodGet, "/", "", nil), http.StatusServiceUnavailable, refuser.NotRun)
	})
	t.Run("the key is released", func(t *testing.T) {
		assertOutcome(t, f.send(t, http.MethodPost, "/rsvp", "x", keyHeader(t)),
			http.StatusServiceUnavailable, refuser.NotRun)
		for range 100 {
			f.ledger.mu.Lock()
			settled := len(f.ledger.settled)
			f.ledger.mu.Unlock()
			if settled > 0 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		f.ledger.mu.Lock()
		defer f.ledger.mu.Unlock()
		is.New(t).True(f.ledger.settled[0].GetUnrun())
	})
	t.Run("stopping", func(t *testing.T) {
		f.forwarder.RefuseNew()
		r := f.send(t, http.MethodGet, "/", "", nil)
		assertOutcome(t, r, http.StatusServiceUnavailable, refuser.NotRun)
		is.New(t).True(r.Header.Get("Retry-After") != "")
	})
}

func TestBadRequests(t *testing.T) {
	f := newTestInstance(t, "127.0.0.1:1")
	cases := []struct {
		name   string
		path   string
		header http.Header
		status int
	}{
		{"malformed deadline", "/", http.Header{refuser.HeaderDeadline: {"soon"}}, http.StatusBadRequest},
		{"past deadline", "/", http.Header{refuser.HeaderDeadline: {"2020-01-01T00:00:00Z"}}, http.StatusGatewayTimeout},
		{"unknown organisation", "/", http.Header{refuser.HeaderOrganisation: {"nobody"}}, http.StatusNotFound},
		{"no key", "/rsvp", nil, http.StatusBadRequest},
		{"key of another version", "/rsvp", http.Header{headerKey: {uuid.NewString()}}, http.StatusBadRequest},
		{"garbage key", "/rsvp", http.Header{headerKey: {strings.Repeat("k", 1000)}}, http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assertOutcome(t, f.send(t, http.MethodPost, c.path, "x", c.header), c.status, refuser.NotRun)
		})
	}
	t.Run("too large", func(t *testing.T) {
		large := strings.Repeat("x", 2<<20)
		assertOutcome(t, f.send(t, http.MethodPost, "/", large, nil), http.StatusRequestEntityTooLarge, refuser.NotRun)
	})
}

// Guards against a truncated body that reaches a target, when a caller disconnects while it sends a request that must
// not repeat.
func TestTruncatedBodyIsNotRun(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	t.Cleanup(target.Close)
	f := newTestInstance(t, target.Listener.Addr().String())
	c, err := net.Dial("tcp", f.Listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(c, "POST /rsvp HTTP/1.1\r\nHost: listings\r\nIdempotency-Key: "+keyHeader(t).Get(headerKey)+
		"\r\nContent-Length: 100\r\n\r\nhalf")
	is.NoErr(err)
	is.NoErr(c.Close())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(f.forwarder.Stop(ctx))
	is.Equal(runs.Load(), int32(0))
}

// Guards against answers that are mixed up or truncated. Many callers send at once, and targets answer late and out of
// order.
func TestAnswersReachTheirCallers(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(time.Duration(len(body)%7) * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Query().Get("id")+":"+string(body))
	}))
	t.Cleanup(target.Close)
	f := newTestInstance(t, target.Listener.Addr().String())
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			for n := range 20 {
				id := strings.Repeat("i", i+1) + strings.Repeat("n", n)
				body := strings.Repeat(id, 50)
				r := f.send(t, http.MethodPut, "/echo?id="+id, body, nil)
				got, err := io.ReadAll(r.Body)
				if err != nil || r.StatusCode == http.StatusOK && string(got) != id+":"+body {
					t.Errorf("caller %s got %d %.40q, %v", id, r.StatusCode, got, err)
				}
			}
		})
	}
	group.Wait()
}

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	is := is.New(t)
	seen := make(chan http.Header, 1)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "secret")
		w.Header().Set("X-Public", "yes")
	}))
	t.Cleanup(target.Close)
	f := newTestInstance(t, target.Listener.Addr().String())
	r := f.send(t, http.MethodGet, "/", "", http.Header{
		"Connection": {"X-Drop"}, "X-Drop": {"1"}, "Te": {"trailers"}, "X-Keep": {"1"},
	})
	h := <-seen
	is.Equal(h.Get("X-Drop")+h.Get("Te"), "")
	is.Equal(h.Get("X-Keep"), "1")
	is.Equal(h.Get("X-Forwarded-For"), "127.0.0.1")
	is.True(h.Get(refuser.HeaderDeadline) != "") // the deadline is passed on
	is.Equal(r.Header.Get("X-Private"), "")
	is.Equal(r.Header.Get("X-Public"), "yes")
}

// Guards against a broken connection when a change removes a service from the catalogue while one of its requests waits
// for a slot. The caller must get a refusal with the outcome not-run.
func TestServiceRemovedWhileARequestWaits(t *testing.T) {
	is := is.New(t)
	f := newTestInstance(t, "127.0.0.1:1")
	view := &directory.View{Catalogue: &cataloguer.Catalogue{}, Pools: map[string]*balancer.Pool{}}
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	j := &job{request: r, ctx: r.Context(), view: view, entry: &cataloguer.Entry{Service: "listings"}}
	_, refusal := f.forwarder.reserveTarget(j, newAdmission(), nil)
	is.True(refusal != nil)
	is.Equal(refusal.Outcome, refuser.NotRun)
	is.Equal(refusal.Reason, "targets")
}

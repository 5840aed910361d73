package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilrail.example/core/aggregator"
	"chervilrail.example/core/placer"
	"chervilrail.example/core/planner"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/core/quoter"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/locator"
	"chervilrail.example/entry/internal/pooler"
	"chervilrail.example/entry/internal/watcher"
	"chervilrail.example/platform/translator"
)

// end is how a scripted attempt ends.
type end struct {
	status int
	header http.Header
	ending pooler.Ending
	// hold keeps the attempt until its context ends.
	hold bool
}

func signed(status int) end {
	return end{status: status, header: http.Header{translator.HeaderSignature: {"s"}}}
}

func unrunBy(status int) end {
	return end{status: status, header: http.Header{translator.HeaderNotRun: {"1"}}}
}

// targets answers each attempt with the next end of its script.
type targets struct {
	mu     sync.Mutex
	ends   []end
	sent   []*pooler.Request
	cancel int
	// recalls counts the calls of Recall.
	recalls int
}

func (s *targets) Send(ctx context.Context, _ netip.AddrPort, r *pooler.Request) (*pooler.Answer, pooler.Ending, error) {
	s.mu.Lock()
	s.sent = append(s.sent, r)
	e := s.ends[min(len(s.sent), len(s.ends))-1]
	s.mu.Unlock()
	if e.hold {
		<-ctx.Done()
		s.mu.Lock()
		s.cancel++
		s.mu.Unlock()
		return nil, pooler.Broken, ctx.Err()
	}
	if e.ending != pooler.Answered {
		return nil, e.ending, errors.New("scripted")
	}
	header := e.header.Clone()
	header.Set(translator.HeaderAttemptID, r.Header.Get(translator.HeaderAttemptID))
	return &pooler.Answer{Status: e.status, Header: header, Body: []byte("body")}, pooler.Answered, nil
}

func (s *targets) Recall(netip.AddrPort, time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recalls++
	return 0
}

func (s *targets) recalled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recalls
}

func (s *targets) Retire(netip.AddrPort) {}
func (s *targets) Sweep(time.Time)       {}
func (s *targets) Close()                {}

type views struct{ view atomic.Pointer[watcher.View] }

// seen returns views of which the newest is known.
func seen(view *watcher.View) *views {
	v := &views{}
	v.view.Store(view)
	return v
}

func (v *views) View() *watcher.View        { return v.view.Load() }
func (v *views) Report(*wire.Loss)          {}
func (v *views) Settle(*wire.Host)          {}
func (v *views) Observe(aggregator.Reading) {}

// alone is the only entry instance of its region; it knows no object.
type alone struct{}

func (alone) Locate(context.Context, []locator.Peer, string, placer.AssignRequest) placer.Assignment {
	return placer.Assignment{}
}
func (alone) Owns([]locator.Peer, uint64) bool { return true }

// unbounded grants every request.
type unbounded struct{}

func (unbounded) Admit(context.Context, string, time.Time, time.Time) quoter.Verdict {
	return quoter.Verdict{}
}
func (unbounded) Return(string, quoter.Verdict) {}

func plan() *wire.Plan {
	split := []*wire.Split{{Service: "listings", Weight: 1}}
	common := func(name, prefix string, idempotent bool) *wire.Route {
		return &wire.Route{
			Name: name, Host: "h.example", Prefix: prefix, Idempotent: idempotent, Splits: split, Attempts: 2,
			Timeout: int64(300 * time.Millisecond), Aim: int64(100 * time.Millisecond),
		}
	}
	return &wire.Plan{
		Version: 1, Services: []*wire.Service{{Name: "listings"}},
		Routes: []*wire.Route{common("safe", "/safe/", true), common("once", "/once/", false)},
	}
}

func begin(t *testing.T, ends ...end) (*Dispatcher, *targets) {
	t.Helper()
	s := &targets{ends: ends}
	var specs []placer.Spec
	for _, name := range []string{"t1", "t2", "t3"} {
		specs = append(specs, placer.Spec{Name: name, Region: "r", Zone: "z", Slots: 2, OwnSlots: 2})
	}
	view := &watcher.View{
		Table: planner.NewTable(plan()), Targets: map[string][]placer.Spec{"listings": specs}, Entries: 1,
	}
	c := &Dispatcher{
		Self: "e1", Locator: alone{}, Quotas: unbounded{}, Region: "r", Zone: "z", Codec: translator.Codec{}, Views: seen(view), Sender: s,
		Quarantine: &quarantiner.Quarantiner{Confirm: 3}, Logger: log.NewNopLogger(), Metrics: NewMetrics(prometheus.NewRegistry()),
	}
	is.New(t).NoErr(c.Start(context.Background(), nil))
	c.ApplyView(view)
	t.Cleanup(func() { is.New(t).NoErr(c.Stop(context.Background())) })
	return c, s
}

func ask(c *Dispatcher, method, path string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://h.example"+path, strings.NewReader("in"))
	r.RequestURI = path
	r.Header.Set(translator.HeaderAttemptID, "a1")
	r.Header.Set(translator.HeaderDeadline, "1000")
	w := httptest.NewRecorder()
	c.ServeHTTP(w, r)
	return w
}

// Targets end a request in every way there is. What may run only once is never sent again after it may have run, and
// is called not run only where that is certain; what may repeat gets another target.
func TestEndings(t *testing.T) {
	broken := end{ending: pooler.Broken}
	unsent := end{ending: pooler.Unsent}
	bare := end{status: http.StatusOK, header: http.Header{}}
	encoded := signed(http.StatusOK)
	encoded.header.Set("Content-Encoding", "gzip")
	cases := []struct {
		name   string
		path   string
		ends   []end
		status int
		sends  int
	}{
		{"once answered", "/once/1", []end{signed(200)}, 200, 1},
		{"once broken off", "/once/1", []end{broken, signed(200)}, 502, 1},
		{"once not reached", "/once/1", []end{unsent, signed(200)}, 200, 2},
		{"once refused by a target", "/once/1", []end{unrunBy(503), signed(200)}, 200, 2},
		{"once refused by two", "/once/1", []end{unrunBy(503), unrunBy(503), signed(200)}, 503, 2},
		{"once at another's address", "/once/1", []end{{status: 421, header: http.Header{}}, signed(200)}, 200, 2},
		{"once failed", "/once/1", []end{signed(500)}, 500, 1},
		{"once unavailable without a word of not having run", "/once/1", []end{signed(503), signed(200)}, 502, 1},
		{"once without a signature", "/once/1", []end{bare, signed(200)}, 502, 1},
		{"safe broken off", "/safe/1", []end{broken, signed(200)}, 200, 2},
		{"safe broken off twice", "/safe/1", []end{broken, broken, signed(200)}, 502, 2},
		{"safe without a signature", "/safe/1", []end{bare, signed(200)}, 200, 2},
		{"safe with an encoding", "/safe/1", []end{encoded, signed(200)}, 200, 2},
		// The first target may have run it, so the second one's word is not enough to say that it has not run.
		{"safe broken off, then refused by a target", "/safe/1", []end{broken, unrunBy(503)}, 502, 2},
		{"no route", "/other/1", []end{signed(200)}, 404, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			carrier, s := begin(t, c.ends...)
			w := ask(carrier, http.MethodPost, c.path)
			is.Equal(w.Code, c.status)
			is.Equal(len(s.sent), c.sends)
			if c.status == http.StatusServiceUnavailable {
				is.True(w.Header().Get("Retry-After") != "")
			}
		})
	}
}

// The first target broke off and may have run the request; no other is left to send it to. "Not run" would be untrue.
func TestNotRunIsNotSaidAfterADoubt(t *testing.T) {
	is := is.New(t)
	c, s := begin(t, end{ending: pooler.Broken})
	view := *c.Views.View()
	view.Targets = map[string][]placer.Spec{"listings": view.Targets["listings"][:1]}
	c.ApplyView(&view)
	w := ask(c, http.MethodPost, "/safe/1")
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(len(s.sent), 1)
}

// A target does not answer in time. The caller gets the final answer at its route's time-out and no later.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	c, s := begin(t, end{hold: true})
	started := time.Now()
	w := ask(c, http.MethodPost, "/once/1")
	is.Equal(w.Code, http.StatusGatewayTimeout)
	is.True(time.Since(started) < 600*time.Millisecond)
	is.Equal(len(s.sent), 1)
}

// The caller leaves. Work that may repeat ends at once; what may run only once goes on, since ended halfway it would
// leave a booking in doubt.
func TestCallerLeaves(t *testing.T) {
	for path, ended := range map[string]bool{"/safe/1": true, "/once/1": false} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			c, s := begin(t, end{hold: true})
			ctx, cancel := context.WithCancel(context.Background())
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h.example"+path, nil)
			r.RequestURI = path
			r.Header.Set(translator.HeaderAttemptID, "a1")
			time.AfterFunc(30*time.Millisecond, cancel)
			started := time.Now()
			c.ServeHTTP(httptest.NewRecorder(), r)
			is.Equal(time.Since(started) < 200*time.Millisecond, ended)
			is.Equal(s.cancel, 1)
		})
	}
}

// A target is handed the time that is left, not the time that the caller had, and works on nothing that nobody waits
// for. It is named, so that another one at its address refuses.
func TestWhatATargetIsTold(t *testing.T) {
	is := is.New(t)
	c, s := begin(t, signed(200))
	ask(c, http.MethodPost, "/once/1?q=%2F%20x")
	sent := s.sent[0]
	is.Equal(sent.Path, "/once/1?q=%2F%20x")
	is.Equal(sent.Host, "h.example")
	is.Equal(string(sent.Body), "in")
	is.True(strings.HasPrefix(sent.Header.Get(translator.HeaderTarget), "t"))
	left, err := strconv.Atoi(sent.Header.Get(translator.HeaderDeadline))
	is.NoErr(err)
	is.True(left > 200 && left <= 300) // the route's time-out is shorter than the caller's wait
}

// A request crashes each target that runs it, and its caller sends it again and again. After the third it is refused
// before it reaches another.
func TestPoisonRequestIsKeptOut(t *testing.T) {
	is := is.New(t)
	c, s := begin(t, end{ending: pooler.Broken})
	for range 4 {
		ask(c, http.MethodPost, "/safe/1")
	}
	before := len(s.sent)
	w := ask(c, http.MethodPost, "/safe/1")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(len(s.sent), before)
}

func TestNothingIsKnownYet(t *testing.T) {
	is := is.New(t)
	c, _ := begin(t, signed(200))
	c.Views = &views{}
	w := ask(c, http.MethodPost, "/once/1")
	is.Equal(w.Code, http.StatusServiceUnavailable) // never 404: what is not known may exist
}

// Guards against callers that are refused by an instance which is named to them and knows the plan a moment later.
func TestRequestsWaitForTheFirstPlan(t *testing.T) {
	is := is.New(t)
	c, _ := begin(t, signed(200))
	view := c.Views.View()
	first := &views{}
	c.Views = first
	time.AfterFunc(blindWait/2, func() { first.view.Store(view) })
	is.Equal(ask(c, http.MethodPost, "/once/1").Code, http.StatusOK)
}

// An instance is being stopped. Requests are still served, and each answer sends its caller elsewhere.
func TestStopping(t *testing.T) {
	is := is.New(t)
	c, _ := begin(t, signed(200))
	c.CloseConnections()
	w := ask(c, http.MethodPost, "/once/1")
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Header().Get("Connection"), "close")
}

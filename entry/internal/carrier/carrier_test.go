package carrier

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

	"chervilrail.example/core/gauger"
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

// scriptedAttempt is the outcome of one attempt, set by a test.
type scriptedAttempt struct {
	status  int
	header  http.Header
	outcome pooler.Outcome
	// hang blocks the attempt until its context ends.
	hang bool
	// connecting is called while the attempt waits for a connection.
	connecting func()
}

func signedAnswer(status int) scriptedAttempt {
	return scriptedAttempt{status: status, header: http.Header{translator.HeaderSignature: {"s"}}}
}

func notExecutedAnswer(status int) scriptedAttempt {
	return scriptedAttempt{status: status, header: http.Header{translator.HeaderNotRun: {"1"}}}
}

// fakeSender gives each attempt the next scripted outcome; the last one repeats.
type fakeSender struct {
	mu        sync.Mutex
	attempts  []scriptedAttempt
	sent      []*pooler.Request
	cancelled int
	// cancelCalls counts the calls of CancelUndelivered.
	cancelCalls int
}

func (s *fakeSender) Send(
	ctx context.Context, _ netip.AddrPort, r *pooler.Request,
) (*pooler.Answer, pooler.Outcome, error) {
	s.mu.Lock()
	s.sent = append(s.sent, r)
	attempt := s.attempts[min(len(s.sent), len(s.attempts))-1]
	s.mu.Unlock()
	if attempt.connecting != nil {
		attempt.connecting()
	}
	if reason := r.Withhold(); reason != "" {
		return nil, pooler.Unsent, &pooler.WithheldError{Reason: reason}
	}
	if attempt.hang {
		<-ctx.Done()
		s.mu.Lock()
		s.cancelled++
		s.mu.Unlock()
		return nil, pooler.Broken, ctx.Err()
	}
	if attempt.outcome != pooler.Answered {
		return nil, attempt.outcome, errors.New("scripted")
	}
	header := attempt.header.Clone()
	header.Set(translator.HeaderAttemptID, r.Header.Get(translator.HeaderAttemptID))
	return &pooler.Answer{Status: attempt.status, Header: header, Body: []byte("body")}, pooler.Answered, nil
}

func (s *fakeSender) CancelUndelivered(netip.AddrPort, time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelCalls++
	return 0
}

func (s *fakeSender) countCancelCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelCalls
}

func (s *fakeSender) CloseIdle(netip.AddrPort) {}
func (s *fakeSender) Sweep(time.Time)          {}
func (s *fakeSender) Close()                   {}

type fakeViews struct{ view atomic.Pointer[watcher.View] }

// viewsWith returns fake views of which view is the latest.
func viewsWith(view *watcher.View) *fakeViews {
	v := &fakeViews{}
	v.view.Store(view)
	return v
}

func (v *fakeViews) View() *watcher.View                     { return v.view.Load() }
func (v *fakeViews) ReportLoss(*wire.Loss)                   {}
func (v *fakeViews) ReportHost(*wire.Host)                   {}
func (v *fakeViews) ReportRateLimit(*wire.RateLimit)         {}
func (v *fakeViews) ReportBackoff(string, uint64, time.Time) {}
func (v *fakeViews) ReportLeave(string, uint64)              {}
func (v *fakeViews) Observe(gauger.Reading)                  {}

// soleInstance is a Locator for the only entry instance of a region; it assigns no object.
type soleInstance struct{}

func (soleInstance) Locate(context.Context, []locator.Peer, string, placer.AssignRequest) placer.Assignment {
	return placer.Assignment{}
}
func (soleInstance) Owns([]locator.Peer, uint64) bool { return true }

// unlimitedQuotas grants every request.
type unlimitedQuotas struct{}

func (unlimitedQuotas) Admit(context.Context, string, time.Time, time.Time) quoter.Verdict {
	return quoter.Verdict{}
}
func (unlimitedQuotas) Return(string, quoter.Verdict) {}

func testPlan() *wire.Plan {
	split := []*wire.Split{{Service: "listings", Weight: 1}}
	newRoute := func(name, prefix string, idempotent bool) *wire.Route {
		return &wire.Route{
			Name: name, Host: "h.example", Prefix: prefix, Idempotent: idempotent, Splits: split, Attempts: 2,
			Timeout: int64(300 * time.Millisecond), Aim: int64(100 * time.Millisecond),
		}
	}
	return &wire.Plan{
		Version: 1, Services: []*wire.Service{{Name: "listings"}},
		Routes: []*wire.Route{newRoute("safe", "/safe/", true), newRoute("once", "/once/", false)},
	}
}

func startCarrier(t *testing.T, attempts ...scriptedAttempt) (*Carrier, *fakeSender) {
	t.Helper()
	s := &fakeSender{attempts: attempts}
	var specs []placer.Spec
	for _, name := range []string{"t1", "t2", "t3"} {
		specs = append(specs, placer.Spec{Name: name, Region: "r", Zone: "z", Slots: 2, OwnSlots: 2})
	}
	view := &watcher.View{
		Table: planner.NewTable(testPlan()), Targets: map[string][]placer.Spec{"listings": specs}, InstanceCount: 1,
	}
	c := &Carrier{
		Self: "e1", Locator: soleInstance{}, Quotas: unlimitedQuotas{}, Region: "r", Zone: "z",
		Codec: translator.Codec{}, Views: viewsWith(view), Sender: s,
		Quarantine: &quarantiner.Quarantiner{Threshold: 3}, Logger: log.NewNopLogger(),
		Metrics: NewMetrics(prometheus.NewRegistry()),
	}
	is.New(t).NoErr(c.Start(context.Background(), nil))
	c.ApplyView(view)
	t.Cleanup(func() { is.New(t).NoErr(c.Stop(context.Background())) })
	return c, s
}

func sendRequest(c *Carrier, method, path string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://h.example"+path, strings.NewReader("in"))
	r.RequestURI = path
	r.Header.Set(translator.HeaderAttemptID, "a1")
	r.Header.Set(translator.HeaderDeadline, "1000")
	w := httptest.NewRecorder()
	c.ServeHTTP(w, r)
	return w
}

// Covers every outcome of an attempt. The route "once" is not idempotent, "safe" is. A request that is not idempotent
// is never sent again after it may have been executed, and is reported as not executed only if that is certain; an
// idempotent one is retried at another target.
func TestAttemptOutcomes(t *testing.T) {
	broken := scriptedAttempt{outcome: pooler.Broken}
	unsent := scriptedAttempt{outcome: pooler.Unsent}
	bare := scriptedAttempt{status: http.StatusOK, header: http.Header{}}
	encoded := signedAnswer(http.StatusOK)
	encoded.header.Set("Content-Encoding", "gzip")
	cases := []struct {
		name     string
		path     string
		attempts []scriptedAttempt
		status   int
		sends    int
	}{
		{"once, answered", "/once/1", []scriptedAttempt{signedAnswer(200)}, 200, 1},
		{"once, connection broken", "/once/1", []scriptedAttempt{broken, signedAnswer(200)}, 502, 1},
		{"once, target not reached", "/once/1", []scriptedAttempt{unsent, signedAnswer(200)}, 200, 2},
		{"once, not executed by a target", "/once/1", []scriptedAttempt{notExecutedAnswer(503), signedAnswer(200)}, 200, 2},
		{"once, not executed by two targets", "/once/1", []scriptedAttempt{notExecutedAnswer(503), notExecutedAnswer(503), signedAnswer(200)}, 503, 2},
		{"once, misdirected", "/once/1", []scriptedAttempt{{status: 421, header: http.Header{}}, signedAnswer(200)}, 200, 2},
		{"once, failed", "/once/1", []scriptedAttempt{signedAnswer(500)}, 500, 1},
		{"once, unavailable without the not-executed header", "/once/1", []scriptedAttempt{signedAnswer(503), signedAnswer(200)}, 502, 1},
		{"once, without a signature", "/once/1", []scriptedAttempt{bare, signedAnswer(200)}, 502, 1},
		{"safe, connection broken", "/safe/1", []scriptedAttempt{broken, signedAnswer(200)}, 200, 2},
		{"safe, connection broken twice", "/safe/1", []scriptedAttempt{broken, broken, signedAnswer(200)}, 502, 2},
		{"safe, without a signature", "/safe/1", []scriptedAttempt{bare, signedAnswer(200)}, 200, 2},
		{"safe, with a content encoding", "/safe/1", []scriptedAttempt{encoded, signedAnswer(200)}, 200, 2},
		// The first target may have executed it, so the second target's not-executed header does not settle that it was
		// not.
		{"safe, connection broken, then not executed by a target", "/safe/1", []scriptedAttempt{broken, notExecutedAnswer(503)}, 502, 2},
		{"no route", "/other/1", []scriptedAttempt{signedAnswer(200)}, 404, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			carrier, s := startCarrier(t, c.attempts...)
			w := sendRequest(carrier, http.MethodPost, c.path)
			is.Equal(w.Code, c.status)
			is.Equal(len(s.sent), c.sends)
			if c.status == http.StatusServiceUnavailable {
				is.True(w.Header().Get("Retry-After") != "")
			}
		})
	}
}

// The connection to the first target breaks, so it may have executed the request, and no other target is left. Guards
// against an answer that says the request was not executed.
func TestUncertainAttemptIsNotReportedAsNotExecuted(t *testing.T) {
	is := is.New(t)
	c, s := startCarrier(t, scriptedAttempt{outcome: pooler.Broken})
	view := *c.Views.View()
	view.Targets = map[string][]placer.Spec{"listings": view.Targets["listings"][:1]}
	c.ApplyView(&view)
	w := sendRequest(c, http.MethodPost, "/safe/1")
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(len(s.sent), 1)
}

// A target does not answer in time. The caller gets the final answer shortly after the route's time-out.
func TestSlowTargetTimesOut(t *testing.T) {
	is := is.New(t)
	c, s := startCarrier(t, scriptedAttempt{hang: true})
	started := time.Now()
	w := sendRequest(c, http.MethodPost, "/once/1")
	is.Equal(w.Code, http.StatusGatewayTimeout)
	is.True(time.Since(started) < 600*time.Millisecond)
	is.Equal(len(s.sent), 1)
}

// The caller disconnects. An idempotent request is cancelled at once; any other continues, because cancelled halfway it
// would leave a booking in doubt.
func TestCallerDisconnects(t *testing.T) {
	for path, cancelsAttempt := range map[string]bool{"/safe/1": true, "/once/1": false} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			c, s := startCarrier(t, scriptedAttempt{hang: true})
			ctx, cancel := context.WithCancel(context.Background())
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h.example"+path, nil)
			r.RequestURI = path
			r.Header.Set(translator.HeaderAttemptID, "a1")
			time.AfterFunc(30*time.Millisecond, cancel)
			started := time.Now()
			c.ServeHTTP(httptest.NewRecorder(), r)
			is.Equal(time.Since(started) < 200*time.Millisecond, cancelsAttempt)
			is.Equal(s.cancelled, 1)
		})
	}
}

// A target receives the time that is left, not the time that the caller set, so that it does not work on a request that
// nobody waits for. The request names the target, so that another one at its address refuses it.
func TestOutgoingRequest(t *testing.T) {
	is := is.New(t)
	c, s := startCarrier(t, signedAnswer(200))
	sendRequest(c, http.MethodPost, "/once/1?q=%2F%20x")
	sent := s.sent[0]
	is.Equal(sent.Path, "/once/1?q=%2F%20x")
	is.Equal(sent.Host, "h.example")
	is.Equal(string(sent.Body), "in")
	is.True(strings.HasPrefix(sent.Header.Get(translator.HeaderTarget), "t"))
	left, err := strconv.Atoi(sent.Header.Get(translator.HeaderDeadline))
	is.NoErr(err)
	is.True(left > 200 && left <= 300) // the route's time-out is shorter than the caller's deadline
}

// A request crashes each target that executes it, and its caller keeps retrying. After the third crash it is refused
// without reaching another target.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	c, s := startCarrier(t, scriptedAttempt{outcome: pooler.Broken})
	for range 4 {
		sendRequest(c, http.MethodPost, "/safe/1")
	}
	before := len(s.sent)
	w := sendRequest(c, http.MethodPost, "/safe/1")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(len(s.sent), before)
}

func TestRequestWithoutPlanIsUnavailable(t *testing.T) {
	is := is.New(t)
	c, _ := startCarrier(t, signedAnswer(200))
	c.Views = &fakeViews{}
	w := sendRequest(c, http.MethodPost, "/once/1")
	is.Equal(w.Code, http.StatusServiceUnavailable) // never 404: a route that is not known yet may exist
}

// Guards against refusing callers that are sent to an instance which gets its first plan a moment later.
func TestRequestsWaitForTheFirstPlan(t *testing.T) {
	is := is.New(t)
	c, _ := startCarrier(t, signedAnswer(200))
	view := c.Views.View()
	first := &fakeViews{}
	c.Views = first
	time.AfterFunc(firstPlanTimeout/2, func() { first.view.Store(view) })
	is.Equal(sendRequest(c, http.MethodPost, "/once/1").Code, http.StatusOK)
}

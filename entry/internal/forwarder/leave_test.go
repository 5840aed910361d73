package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/pipeliner"
	"chervilrail.example/core/stopper"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/refuser"
)

const (
	// requestLimit is the timeout of the entries in testCatalogue.
	requestLimit = 2 * time.Second
	// promptly is longer than a refusal takes, and well below requestLimit.
	promptly = requestLimit / 4
)

// stopIn returns the deadlines of a stop that begins now and whose last answers are due after a time. Connections are cut
// promptly after that.
func stopIn(end time.Duration) stopper.Deadlines {
	now := time.Now()
	return stopper.Deadlines{Began: now, Serve: now, End: now.Add(end), Cut: now.Add(end + promptly)}
}

// leaveTarget is a target that runs every request until its caller goes away or the test ends. If prepare is set, it is
// called first; the target answers at once if prepare returns true.
type leaveTarget struct {
	*httptest.Server
	prepare func(w http.ResponseWriter) bool
	runs    atomic.Int32
}

func newLeaveTarget(t *testing.T, prepare func(w http.ResponseWriter) bool) *leaveTarget {
	t.Helper()
	out := &leaveTarget{prepare: prepare}
	ended := make(chan struct{})
	out.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out.runs.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		if out.prepare != nil && out.prepare(w) {
			return
		}
		select {
		case <-r.Context().Done():
		case <-ended:
		}
	}))
	t.Cleanup(out.Close)
	t.Cleanup(func() { close(ended) })
	return out
}

func (l *leaveTarget) address() string { return l.Listener.Addr().String() }

func answerAtOnce(w http.ResponseWriter) bool {
	w.WriteHeader(http.StatusOK)
	return true
}

// assertLeaving fails unless a request was refused as not run, to be sent again elsewhere.
func assertLeaving(t *testing.T, r *http.Response) {
	t.Helper()
	assertOutcome(t, r, http.StatusServiceUnavailable, refuser.NotRun)
	is.New(t).True(r.Header.Get("Retry-After") != "")
}

// Guards against a planned stop that takes a request which it may have to break off at its target.
func TestLeavingInstanceTakesOnlyWhatEndsInTime(t *testing.T) {
	for name, path := range map[string]string{"plain": "/a", "once": "/rsvp", "upload": "/photos"} {
		t.Run(name, func(t *testing.T) {
			target := newLeaveTarget(t, answerAtOnce)
			f := newTestInstance(t, target.address())
			f.forwarder.Leave(stopIn(requestLimit - promptly))
			assertLeaving(t, f.send(t, http.MethodPost, path, "x", keyHeader(t)))
			is.New(t).Equal(target.runs.Load(), int32(0))
		})
	}
	t.Run("limit before the end", func(t *testing.T) {
		f := newTestInstance(t, newLeaveTarget(t, answerAtOnce).address())
		f.forwarder.Leave(stopIn(2 * requestLimit))
		is.New(t).Equal(f.send(t, http.MethodPost, "/a", "x", nil).StatusCode, http.StatusOK)
	})
	t.Run("short deadline of the caller", func(t *testing.T) {
		f := newTestInstance(t, newLeaveTarget(t, answerAtOnce).address())
		f.forwarder.Leave(stopIn(requestLimit / 2))
		header := http.Header{refuser.HeaderDeadline: {time.Now().Add(promptly).UTC().Format(time.RFC3339Nano)}}
		is.New(t).Equal(f.send(t, http.MethodPost, "/photos", "x", header).StatusCode, http.StatusOK)
	})
}

// Guards against callers that get no answer from an instance that leaves, since it cuts their requests at its targets when
// its time is over; and against targets and requests that are then taken for faulty.
func TestRequestsAtWorkAreAnsweredBeforeTheCut(t *testing.T) {
	for _, c := range []struct{ name, method, path string }{
		{"repeatable", http.MethodGet, "/a"},
		{"plain", http.MethodPost, "/a"},
		{"once", http.MethodPost, "/rsvp"},
		{"upload", http.MethodPost, "/photos"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			target, second := newLeaveTarget(t, nil), newLeaveTarget(t, nil)
			f := newTestInstance(t, target.address(), second.address())
			reports := &countingBroadcaster{}
			f.forwarder.LossBroadcaster = reports
			left := make(chan stopper.Deadlines, 1)
			time.AfterFunc(promptly/2, func() {
				d := stopIn(promptly / 2)
				f.forwarder.Leave(d)
				left <- d
			})
			r := f.send(t, c.method, c.path, "x", keyHeader(t))
			d := <-left
			assertOutcome(t, r, http.StatusGatewayTimeout, refuser.Unknown)
			is.True(time.Now().After(d.End))
			is.True(time.Now().Before(d.Cut))
			is.Equal(target.runs.Load()+second.runs.Load(), int32(1))
			is.Equal(reports.count.Load(), int32(0))
		})
	}
}

// countingBroadcaster counts reports of losses.
type countingBroadcaster struct{ count atomic.Int32 }

func (c *countingBroadcaster) BroadcastLoss(*wire.Loss) { c.count.Add(1) }

// Guards against requests that wait for a target when their instance leaves, and are sent late, though they may have to be
// broken off there.
func TestWaitingRequestsThatMayOutlastTheStopAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	target := newLeaveTarget(t, nil)
	f := newTestInstance(t, target.address())
	const slots = 4
	for range slots {
		go func() { _, _ = http.DefaultClient.Do(newRequest(f)) }() //nolint:bodyclose // these get no answer in time
	}
	time.Sleep(promptly / 4)
	leftAt := make(chan time.Time, 1)
	time.AfterFunc(promptly/4, func() {
		leftAt <- time.Now()
		f.forwarder.Leave(stopIn(promptly))
	})
	r := f.send(t, http.MethodPost, "/a", "x", nil)
	took := time.Since(<-leftAt)
	assertLeaving(t, r)
	is.True(took < promptly/2)
	is.Equal(target.runs.Load(), int32(slots))
}

func newRequest(f *testInstance) *http.Request {
	r, _ := http.NewRequest(http.MethodPost, f.URL+"/a", strings.NewReader("x")) // the address is valid
	r.Header.Set(refuser.HeaderService, "listings")
	return r
}

// Guards against a stop that sends a request to one more target which it may have to break off: the first one has not run it.
func TestLeavingInstanceMakesNoSecondTryThatItMayBreakOff(t *testing.T) {
	is := is.New(t)
	var f *testInstance
	shed := func(w http.ResponseWriter) bool {
		f.forwarder.Leave(stopIn(promptly))
		w.Header().Set(refuser.HeaderOutcome, string(refuser.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	first, second := newLeaveTarget(t, shed), newLeaveTarget(t, shed)
	f = newTestInstance(t, first.address(), second.address())
	assertLeaving(t, f.send(t, http.MethodPost, "/a", "x", nil))
	is.Equal(first.runs.Load()+second.runs.Load(), int32(1))
}

// Guards against uploads that go on while their instance leaves, and are cut without an answer or taken too late.
func TestUploadsThatMayOutlastTheStopAreRefusedAtOnce(t *testing.T) {
	for name, path := range map[string]string{"once": "/rsvp", "plain": "/a"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := newLeaveTarget(t, nil)
			f := newTestInstance(t, target.address())
			c, err := (&pipeliner.Pipeliner{}).Dial(t.Context(), f.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			header := refuser.HeaderService + ": listings\r\n" + headerKey + ": " + keyHeader(t).Get(headerKey) + "\r\n"
			is.NoErr(c.Post(path, header, uploadPart, []byte("x")))
			time.Sleep(promptly / 4)
			f.forwarder.Leave(stopIn(promptly))
			assertRefusal(t, c, http.StatusServiceUnavailable, promptly/2)
			is.Equal(target.runs.Load(), int32(0))
		})
	}
}

// hangingLedger grants every claim, at once or never, and never stores an outcome.
type hangingLedger struct {
	fakeLedger
	hangs bool
}

func (l *hangingLedger) Claim(ctx context.Context, c *wire.Claim) (*wire.ClaimResult, error) {
	if l.hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return l.fakeLedger.Claim(ctx, c)
}

func (l *hangingLedger) Settle(ctx context.Context, _ *wire.Settle) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against an answer that a target has given and its caller never gets: the instance that leaves waits for the ledger
// until its connections are cut.
func TestAnswersDontWaitForTheLedgerBeyondTheStop(t *testing.T) {
	is := is.New(t)
	f := newTestInstance(t, newLeaveTarget(t, answerAtOnce).address())
	f.forwarder.Ledger = &hangingLedger{}
	var d stopper.Deadlines
	time.AfterFunc(promptly/2, func() {
		d = stopIn(promptly / 2)
		f.forwarder.Leave(d)
	})
	is.Equal(f.send(t, http.MethodPost, "/rsvp", "x", keyHeader(t)).StatusCode, http.StatusOK)
	is.True(time.Now().Before(d.Cut))
}

// Guards against a request that waits for its claim while the instance leaves, until its connection is cut.
func TestClaimsThatMayOutlastTheStopAreGivenUpAtOnce(t *testing.T) {
	is := is.New(t)
	target := newLeaveTarget(t, answerAtOnce)
	f := newTestInstance(t, target.address())
	f.forwarder.Ledger = &hangingLedger{hangs: true}
	time.AfterFunc(promptly/2, func() { f.forwarder.Leave(stopIn(promptly)) })
	started := time.Now()
	assertLeaving(t, f.send(t, http.MethodPost, "/rsvp", "x", keyHeader(t)))
	is.True(time.Since(started) < promptly)
	is.Equal(target.runs.Load(), int32(0))
}

// slowLedger grants every claim and takes a while to store what is settled.
type slowLedger struct{ fakeLedger }

func (l *slowLedger) Settle(ctx context.Context, s *wire.Settle) error {
	select {
	case <-time.After(promptly / 2):
		return l.fakeLedger.Settle(ctx, s)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against a key that stays claimed for a request which did not run, since the process ends before the ledger knows: the
// caller's repeat is refused.
func TestStopWaitsUntilClaimsAreReleased(t *testing.T) {
	is := is.New(t)
	shed := func(w http.ResponseWriter) bool {
		w.Header().Set(refuser.HeaderOutcome, string(refuser.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	f := newTestInstance(t, newLeaveTarget(t, shed).address())
	ledger := &slowLedger{}
	f.forwarder.Ledger = ledger
	assertOutcome(t, f.send(t, http.MethodPost, "/rsvp", "x", keyHeader(t)), http.StatusServiceUnavailable, refuser.NotRun)
	ctx, cancel := stopper.NewContext(t.Context(), stopper.Stopper{Timeout: 4 * promptly}.From(time.Now()))
	defer cancel()
	is.NoErr(f.forwarder.Stop(ctx))
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	is.Equal(len(ledger.settled), 1)
	is.True(ledger.settled[0].GetUnrun())
}

// Guards against a stop that waits for a ledger which can't be reached, until no time is left for what stops later.
func TestStopDoesNotWaitForTheLedgerBeyondTheCut(t *testing.T) {
	is := is.New(t)
	f := newTestInstance(t, newLeaveTarget(t, answerAtOnce).address())
	f.forwarder.Ledger = &hangingLedger{hangs: true}
	d := stopper.Deadlines{Began: time.Now(), End: time.Now().Add(promptly), Cut: time.Now().Add(2 * promptly), Exit: time.Now().Add(4 * promptly)}
	f.forwarder.Leave(d)
	header := http.Header{
		headerKey:              keyHeader(t)[headerKey],
		refuser.HeaderDeadline: {time.Now().Add(promptly / 2).UTC().Format(time.RFC3339Nano)},
	}
	assertOutcome(t, f.send(t, http.MethodPost, "/rsvp", "x", header), http.StatusServiceUnavailable, refuser.NotRun)
	ctx, cancel := stopper.NewContext(t.Context(), d)
	defer cancel()
	is.NoErr(f.forwarder.Stop(ctx))
	is.True(time.Now().Before(d.Exit.Add(-promptly)))
}

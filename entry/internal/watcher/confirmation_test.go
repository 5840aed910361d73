package watcher

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

// changeBound is the time within which an accepted change has to be in force.
const changeBound = 2500 * time.Millisecond

// Guards against an instance that starts to work by a plan which nobody has confirmed to be the newest: its controller
// reaches the others, but no leader is elected yet, or it misses only the leader's messages.
func TestFirstPlanWaitsForConfirmation(t *testing.T) {
	is := is.New(t)
	unconfirmed := answer(5, 3, true)
	unconfirmed.Confirmed = false
	c, address := startController(t, unconfirmed)
	w := startWatcher(t, address)
	waitFor(t, func() bool { return c.requestCount() > 3 })
	is.True(w.View() == nil)
	is.True(c.request(c.requestCount() - 1).GetNode().GetStarting())
	c.setAnswer(answer(6, 4, true))
	waitFor(t, func() bool { return version(w) == 4 })
}

// Guards against an instance that starts to work by a plan from before the last changes: the answer was built before
// them and took seconds on a full link, or the controller was last confirmed before them.
func TestFirstPlanFromAnOldAnswerIsNotUsed(t *testing.T) {
	for name, c := range map[string]struct {
		took, held, age time.Duration
		used            bool
	}{
		"under way":          {took: changeBound + time.Second},
		"confirmed long ago": {age: changeBound + time.Second},
		"both":               {took: changeBound * 2 / 3, age: changeBound * 2 / 3},
		"fresh":              {took: time.Second, age: time.Second, used: true},
		"held":               {took: changeBound + time.Second, held: changeBound, used: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := stoppedWatcher()
			r := answer(5, 3, true)
			r.Age, r.Held = int64(c.age), int64(c.held)
			now := time.Now()
			w.apply(now.Add(-c.took), now, r)
			is.Equal(version(w) == 3, c.used)
		})
	}
}

// stoppedWatcher returns a watcher that makes no calls.
func stoppedWatcher() *Watcher {
	w := &Watcher{
		Instance: &wire.Node{Name: "e1", Region: "r", Zone: "z"}, Dialer: &dialer.Dialer{HTTP1Only: true},
		Logger: log.NewNopLogger(), OnView: func(*View) {}, OnLosses: func([]*wire.Loss) {},
	}
	w.state.coldUntil, w.state.instances = map[string]time.Time{}, map[string]*wire.Node{}
	return w
}

// silentController accepts calls and answers none before its test ends.
type silentController struct {
	wireconnect.UnimplementedExchangeHandler
	ended chan struct{}
}

func (c silentController) Watch(
	context.Context, *connect.Request[wire.WatchRequest],
) (*connect.Response[wire.WatchResponse], error) {
	<-c.ended
	return nil, connect.NewError(connect.CodeUnavailable, nil)
}

// Guards against an instance that learns of changes too late after several disruptions in a row: its calls have run out
// of time again and again, so it waits longer for each, and the next controller it calls is dead.
func TestSilentControllerDoesNotDelayAChange(t *testing.T) {
	is := is.New(t)
	c := silentController{ended: make(chan struct{})}
	_, handler := wireconnect.NewExchangeHandler(c)
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(c.ended) })
	silent := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	_, working := startController(t, answer(5, 3, true))
	w := startWatcher(t, silent)
	time.Sleep(4 * time.Second) // several calls run out of time
	w.SetSeeds([]netip.AddrPort{working})
	changed := time.Now()
	for version(w) != 3 && time.Since(changed) < 2*changeBound {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(time.Since(changed) < changeBound)
}

// Guards against an instance that never starts: the plan that nobody confirmed came from a controller that recovered
// from a snapshot, whose revision is above those of all others, and that controller is gone.
func TestConfirmedPlanReplacesOneOfAHigherRevision(t *testing.T) {
	is := is.New(t)
	unconfirmed := answer(9, 3, true)
	unconfirmed.Confirmed = false
	w := stoppedWatcher()
	now := time.Now()
	w.apply(now, now, unconfirmed)
	is.Equal(w.request().GetRevision(), uint64(9))
	w.apply(now, now, answer(5, 4, true))
	is.Equal(w.request().GetRevision(), uint64(0))
	w.apply(now, now, answer(5, 4, true))
	is.Equal(version(w), uint64(4))
}

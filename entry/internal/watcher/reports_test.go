package watcher

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/wire"
)

// Guards against a leave or a backoff that a target asked of this instance and no other learns of, and against one that others
// report and this instance does not hear.
func TestWhatTargetsSayIsPassedOn(t *testing.T) {
	is := is.New(t)
	avoided := answer(5, 3, true)
	avoided.Backoffs = []*wire.Backoff{{Target: "t2", Incarnation: 7, Remaining: int64(time.Second)}}
	c, address := startController(t, avoided)
	received := make(chan []*wire.Backoff, 100)
	w := &Watcher{
		Instance: &wire.Node{Name: "e1", Region: "r"}, Seeds: []netip.AddrPort{address}, Dialer: &dialer.Dialer{HTTP1Only: true},
		Logger: log.NewNopLogger(), OnView: func(*View) {}, OnBackoffs: func(list []*wire.Backoff) { received <- list },
	}
	is.NoErr(w.Start(context.Background(), nil))
	t.Cleanup(func() { is.NoErr(w.Stop(context.Background())) })
	is.Equal((<-received)[0].GetTarget(), "t2")
	w.ReportLeave("t3", 4)
	w.ReportBackoff("t1", 1, time.Now().Add(time.Second))
	w.ReportBackoff("t1", 2, time.Now().Add(3*time.Second))
	w.ReportBackoff("t1", 2, time.Now().Add(2*time.Second))
	waitFor(t, func() bool { return len(c.reported().GetBackoffs()) > 0 })
	reported := c.reported().GetBackoffs()[0]
	left := time.Duration(reported.GetRemaining())
	is.Equal(reported.GetIncarnation(), uint64(2))
	is.True(left > 2*time.Second && left <= 3*time.Second)
	is.Equal(c.reported().GetLeaves()[0].GetIncarnation(), uint64(4))
}

// Guards against reports that are lost because one call failed.
func TestReportsAreKeptUntilTheyAreSent(t *testing.T) {
	is := is.New(t)
	var p pendingReports
	p.addLosses(&wire.Loss{Target: "t1"})
	p.addHosts(&wire.Host{Target: "t1"})
	p.addLimits(&wire.RateLimit{Target: "t1", Version: 1})
	p.addBackoff("t1", pendingBackoff{1, time.Unix(1000, 0)})
	p.addLeaves(&wire.Leave{Target: "t1"})
	taken := p.take()
	is.Equal(taken.count(), 5)
	is.Equal(p.count(), 0)
	p.addLimits(&wire.RateLimit{Target: "t1", Version: 2})
	p.restore(taken)
	is.Equal(p.count(), 5)
	is.Equal(p.limits["t1"].GetVersion(), uint64(2))
}

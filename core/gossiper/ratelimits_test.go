package gossiper

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// limits returns what a watcher that knows nothing receives from a controller.
func (r *cluster) limits(i int) []*wire.RateLimit {
	g := r.controllers[i]
	return g.ChangesSince(r.now, Position{}, g.Counter(), 0).RateLimits
}

// Guards against instances that never learn that a target names a limit or that it has ended: the controller that was
// told has died, or the instance's own controller has restarted.
func TestRateLimitsReachAllControllers(t *testing.T) {
	is := is.New(t)
	r := newCluster(5)
	r.disconnected["c3"], r.disconnected["c4"] = true, true
	r.controllers[0].UpdateRateLimits([]*wire.RateLimit{{Target: "t1", Incarnation: 1, Named: true, Rate: 1, Version: 1}})
	r.exchangeAll(Period)
	r.disconnected = map[string]bool{"c0": true}
	r.exchangeAll(Period)
	for i := 1; i < 5; i++ {
		is.Equal(len(r.limits(i)), 1)
	}
	r.controllers[1].UpdateRateLimits([]*wire.RateLimit{{Target: "t1", Incarnation: 1, Version: 2}})
	r.controllers[2] = &Gossiper{Self: "c2", Run: 99}
	r.exchangeAll(Period)
	r.exchangeAll(Period)
	for i := 1; i < 5; i++ {
		is.Equal(r.limits(i)[0].GetVersion(), uint64(2))
	}
	is.Equal(r.exchangeAll(time.Second), 0)
}

// Guards against a watch call that is answered with the same limits again and again.
func TestRateLimitsAreSentOnce(t *testing.T) {
	is := is.New(t)
	r := newCluster(1)
	g := r.controllers[0]
	limit := []*wire.RateLimit{{Target: "t1", Incarnation: 1, Named: true, Rate: 1, Version: 1}}
	g.UpdateRateLimits(limit)
	first := g.ChangesSince(r.now, Position{}, g.Counter(), 0)
	is.True(!first.Empty())
	g.UpdateRateLimits(limit)
	is.True(g.ChangesSince(r.now, first.Next, g.Counter(), 0).Empty())
}

package gossiper

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// backoffs returns what a watcher that knows nothing receives from a controller.
func (r *cluster) backoffs(i int) []*wire.Backoff {
	g := r.controllers[i]
	return g.ChangesSince(r.now, Position{}, g.Counter(), 0).Backoffs
}

func backoff(incarnation uint64, remaining time.Duration) []*wire.Backoff {
	return []*wire.Backoff{{Target: "t1", Incarnation: incarnation, Remaining: int64(remaining)}}
}

// Guards against instances that go on sending to a target which has asked another one for no requests: their controller
// is not told.
func TestBackoffsReachAllControllers(t *testing.T) {
	is := is.New(t)
	r := newCluster(5)
	r.controllers[0].UpdateBackoffs(r.now, backoff(1, 3*time.Second))
	r.exchangeAll(time.Second)
	for i := range 5 {
		is.Equal(len(r.backoffs(i)), 1)
		left := time.Duration(r.backoffs(i)[0].GetRemaining())
		is.True(left > time.Second && left < 3*time.Second)
	}
	is.Equal(r.exchangeAll(time.Second), 0)
}

// Guards against a backoff that never ends because controllers tell each other of it in turn, each time a little later.
func TestBackoffsEnd(t *testing.T) {
	is := is.New(t)
	r := newCluster(3)
	r.controllers[0].UpdateBackoffs(r.now, backoff(1, time.Second))
	r.controllers[1].UpdateBackoffs(r.now.Add(400*time.Millisecond), backoff(1, time.Second))
	for range 5 {
		r.exchangeAll(400 * time.Millisecond)
	}
	for i, g := range r.controllers {
		is.Equal(len(r.backoffs(i)), 0)
		g.Tick(r.now)
		is.Equal(len(g.backoffs.byTarget), 0)
	}
}

// Guards against watch calls that are answered for each request that a target turns away, and against a backoff of an
// earlier start that holds for a later one.
func TestBackoffsAreSentOnlyWhenTheyGrow(t *testing.T) {
	is := is.New(t)
	g := newCluster(1).controllers[0]
	now := time.Unix(1000, 0)
	g.UpdateBackoffs(now, backoff(2, 3*time.Second))
	counter := g.Counter()
	g.UpdateBackoffs(now.Add(100*time.Millisecond), backoff(2, 3*time.Second))
	g.UpdateBackoffs(now, backoff(1, 9*time.Second))
	g.UpdateBackoffs(now, backoff(2, -time.Second))
	is.Equal(g.Counter(), counter)
	g.UpdateBackoffs(now.Add(time.Second), backoff(2, 3*time.Second))
	g.UpdateBackoffs(now, backoff(3, time.Second))
	is.Equal(g.Counter(), counter+2)
}

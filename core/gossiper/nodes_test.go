package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

func instance(i int) *wire.Node {
	return &wire.Node{
		Name: fmt.Sprintf("front-somewhere-%d", i), Incarnation: uint64(i + 1), Caller: fmt.Sprintf("10.0.0.%d:80", i),
		Region: "r", Zone: "z",
	}
}

// observeInstances has entry instances call the first controller until all controllers have received them.
func observeInstances(r *cluster, count int) {
	for range 2 {
		for i := range count {
			r.controllers[0].ObserveInstance(r.now, instance(i))
		}
		r.exchangeAll(Period)
	}
}

// One of eighty watching entry instances stops. If each received the full list, their narrow links would carry little
// else on a day with many restarts, and changes of the plan would arrive late.
func TestWatchersReceiveOnlyChangedInstances(t *testing.T) {
	t.Run("leaving", func(t *testing.T) {
		is := is.New(t)
		r := newCluster(2)
		observeInstances(r, 80)
		at := r.controllers[1].Counter()
		leaving := instance(7)
		leaving.Leaving = true
		r.controllers[0].ObserveInstance(r.now.Add(time.Millisecond), leaving)
		r.exchangeAll(Period)
		changes := r.controllers[1].ChangesSince(r.now, Position{at, at}, r.controllers[1].Counter(), 0)
		is.True(!changes.Whole)
		is.Equal(len(changes.Seen), 1)
		is.True(changes.Seen[0].GetNode().GetLeaving())
	})
	t.Run("gone", func(t *testing.T) {
		is := is.New(t)
		r := newCluster(2)
		observeInstances(r, 80)
		at := r.controllers[1].Counter()
		for range int(instanceTimeout/Period) + 2 {
			for i := range 80 {
				if i != 7 {
					r.controllers[0].ObserveInstance(r.now, instance(i))
				}
			}
			r.exchangeAll(Period)
		}
		changes := r.controllers[1].ChangesSince(r.now, Position{at, at}, r.controllers[1].Counter(), 0)
		is.Equal(len(changes.Seen), 1)
		is.True(changes.Seen[0].GetNode().GetLost())
		is.Equal(changes.Seen[0].GetNode().GetName(), instance(7).GetName())
	})
}

// A watcher was disconnected while more entry instances were removed than are kept. A list of changes would leave
// stopped ones in its state permanently, so it receives the full list.
func TestWatcherFarBehindReceivesFullList(t *testing.T) {
	is := is.New(t)
	g := newCluster(1).controllers[0]
	now := time.Unix(1000, 0)
	g.ObserveInstance(now, instance(0))
	at := g.Counter()
	for i := range maxRemoved + 5 {
		g.ObserveInstance(now, instance(i+1))
	}
	now = now.Add(2 * instanceTimeout)
	g.ObserveInstance(now, instance(0))
	g.Tick(now)
	changes := g.ChangesSince(now, Position{at, at}, g.Counter(), 0)
	is.True(changes.Whole)
	is.Equal(len(changes.Seen), 1)
}

package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

func node(i int) *wire.Node {
	return &wire.Node{
		Name: fmt.Sprintf("front-somewhere-%d", i), Incarnation: uint64(i + 1), Caller: fmt.Sprintf("10.0.0.%d:80", i),
		Region: "r", Zone: "z",
	}
}

// fill lets entry instances call the first controller, and all controllers learn of them.
func fill(r *ring, count int) {
	for range 2 {
		for i := range count {
			r.nodes[0].ObserveInstance(r.now, node(i))
		}
		r.pass(Period)
	}
}

// Eighty entry instances watch, and one of them stops. Told the whole list each, their links, which are narrow, would
// carry little else on a day with many restarts, and changes of the plan would come late.
func TestWatchersLearnWhichInstanceChanged(t *testing.T) {
	t.Run("leaving", func(t *testing.T) {
		is := is.New(t)
		r := newRing(2)
		fill(r, 80)
		at := r.nodes[1].Counter()
		leaving := node(7)
		leaving.Leaving = true
		r.nodes[0].ObserveInstance(r.now.Add(time.Millisecond), leaving)
		r.pass(Period)
		news := r.nodes[1].ChangesSince(r.now, at)
		is.True(!news.Whole)
		is.Equal(len(news.Seen), 1)
		is.True(news.Seen[0].GetNode().GetLeaving())
	})
	t.Run("gone", func(t *testing.T) {
		is := is.New(t)
		r := newRing(2)
		fill(r, 80)
		at := r.nodes[1].Counter()
		for range int(nodeLife/Period) + 2 {
			for i := range 80 {
				if i != 7 {
					r.nodes[0].ObserveInstance(r.now, node(i))
				}
			}
			r.pass(Period)
		}
		news := r.nodes[1].ChangesSince(r.now, at)
		is.Equal(len(news.Seen), 1)
		is.True(news.Seen[0].GetNode().GetLost())
		is.Equal(news.Seen[0].GetNode().GetName(), node(7).GetName())
	})
}

// A watcher was away while more entry instances went than are remembered. A list of changes would leave dead ones in its
// picture for ever; it gets the whole list.
func TestWatcherThatMissedTooMuchGetsAll(t *testing.T) {
	is := is.New(t)
	g := newRing(1).nodes[0]
	now := time.Unix(1000, 0)
	g.ObserveInstance(now, node(0))
	at := g.Counter()
	for i := range rememberGone + 5 {
		g.ObserveInstance(now, node(i+1))
	}
	now = now.Add(2 * nodeLife)
	g.ObserveInstance(now, node(0))
	g.Tick(now)
	news := g.ChangesSince(now, at)
	is.True(news.Whole)
	is.Equal(len(news.Seen), 1)
}

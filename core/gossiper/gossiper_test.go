package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// ring is a few controllers whose messages the test carries.
type ring struct {
	now   time.Time
	nodes []*Gossiper
	cut   map[string]bool
}

func newRing(n int) *ring {
	r := &ring{now: time.Unix(1000, 0), cut: map[string]bool{}}
	for i := range n {
		r.nodes = append(r.nodes, &Gossiper{Self: fmt.Sprintf("c%d", i), Run: uint64(i + 1)})
	}
	return r
}

// pass lets every pair that can reach each other exchange once, and returns how many records were sent.
func (r *ring) pass(d time.Duration) int {
	r.now = r.now.Add(d)
	sent := 0
	for _, from := range r.nodes {
		from.Tick(r.now)
		for _, to := range r.nodes {
			if from == to || r.cut[from.Self] || r.cut[to.Self] {
				continue
			}
			m := from.BuildRequest(r.now, to.Self)
			sent += len(m.GetRecords())
			from.HandleResponse(r.now, to.Self, to.HandleRequest(r.now, m))
		}
	}
	return sent
}

func record(name string, incarnation, sequence uint64, state wire.TargetState) *wire.Record {
	return &wire.Record{
		Name: name, Incarnation: incarnation, Sequence: sequence, Service: "listings", Slots: 3,
		Address: "10.0.0.1:80" + name[len(name)-1:], Zone: "z", State: state,
	}
}

const (
	ready   = wire.TargetState_TARGET_READY
	leaving = wire.TargetState_TARGET_LEAVING
)

func (r *ring) state(i int, name string) wire.TargetState {
	record, _ := r.nodes[i].Target(name)
	return record.GetState()
}

// A target tells one controller that it leaves. Two more have it in memory, so it is acknowledged; then the one that
// took it is cut off. The rest must hear of it from the two, or requests go on to reach a target that was told it
// gets none.
func TestLeavingOutlivesTheControllerThatTookIt(t *testing.T) {
	is := is.New(t)
	r := newRing(5)
	r.nodes[0].Announce(r.now, record("t1", 1, 1, ready))
	r.pass(Period)
	r.cut["c3"], r.cut["c4"] = true, true
	counter := r.nodes[0].Announce(r.now, record("t1", 1, 2, leaving))
	r.pass(Period)
	is.True(r.nodes[0].HasAcknowledged("c1", counter) && r.nodes[0].HasAcknowledged("c2", counter))
	is.True(!r.nodes[0].HasAcknowledged("c3", counter))
	r.cut = map[string]bool{"c0": true}
	for range 4 {
		r.pass(Period)
	}
	is.Equal(r.state(3, "t1"), leaving)
	is.Equal(r.state(4, "t1"), leaving)
}

// Hundreds of targets announce themselves every second. Passed on each time, this alone would fill the small
// controllers' time; only what changes is told, and only by the controller that heard it.
func TestCalmCostsNoRecords(t *testing.T) {
	is := is.New(t)
	r := newRing(5)
	for seq := uint64(1); seq < 6; seq++ {
		for i := range 9 {
			r.nodes[i%5].Announce(r.now, record(fmt.Sprintf("t%d", i), 1, seq, ready))
		}
		sent := r.pass(Period)
		if seq == 1 {
			is.Equal(sent, 9*4)
			continue
		}
		is.Equal(sent, 0)
	}
}

// A controller restarts and has forgotten everything. It must be told again, or entry instances that turn to it would
// never hear of the targets.
func TestRestartedControllerIsToldAgain(t *testing.T) {
	is := is.New(t)
	r := newRing(3)
	r.nodes[0].Announce(r.now, record("t1", 1, 1, ready))
	r.nodes[1].Announce(r.now, record("t2", 1, 1, leaving))
	r.pass(Period)
	r.nodes[2] = &Gossiper{Self: "c2", Run: 99}
	r.pass(Period)
	r.pass(Period)
	_, first := r.nodes[2].Target("t1")
	is.True(first)
	is.Equal(r.state(2, "t2"), leaving)
}

// A target stops announcing itself: it is out of use within seconds on all controllers. When all targets fall silent
// at once it is the controller that lost its links, and traffic must go on.
func TestSilence(t *testing.T) {
	beat := func(r *ring, names []string, seq uint64) {
		for _, name := range names {
			r.nodes[0].Announce(r.now, record(name, 1, seq, ready))
		}
	}
	t.Run("one", func(t *testing.T) {
		is := is.New(t)
		r := newRing(3)
		beat(r, []string{"t1", "t2", "t3"}, 1)
		for seq := uint64(2); seq < 30; seq++ {
			r.pass(Period)
			beat(r, []string{"t1", "t2"}, seq)
		}
		for _, g := range r.nodes {
			got, _ := g.Target("t3")
			is.True(got.GetSilent())
			got, _ = g.Target("t1")
			is.True(!got.GetSilent())
		}
		beat(r, []string{"t3"}, 2)
		r.pass(Period)
		got, _ := r.nodes[2].Target("t3")
		is.True(!got.GetSilent())
	})
	t.Run("all", func(t *testing.T) {
		is := is.New(t)
		r := newRing(3)
		beat(r, []string{"t1", "t2", "t3"}, 1)
		for range 40 {
			r.pass(Period)
		}
		got, _ := r.nodes[1].Target("t3")
		is.True(!got.GetSilent())
	})
}

// A target turns to another controller. The former one must not call it silent for that.
func TestTargetThatMovesIsNotSilent(t *testing.T) {
	is := is.New(t)
	r := newRing(3)
	r.nodes[0].Announce(r.now, record("t1", 1, 1, ready))
	r.pass(Period)
	for seq := uint64(2); seq < 30; seq++ {
		r.nodes[1].Announce(r.now, record("t1", 1, seq, ready))
		r.nodes[0].Announce(r.now, record("t2", 1, seq, ready))
		r.nodes[0].Announce(r.now, record("t3", 1, seq, ready))
		r.pass(Period)
	}
	for _, g := range r.nodes {
		got, _ := g.Target("t1")
		is.True(!got.GetSilent())
	}
}

// An entry instance dies. Callers must not be sent to it for longer than a few seconds, whichever controller they ask.
func TestDeadEntryInstanceIsForgotten(t *testing.T) {
	is := is.New(t)
	r := newRing(3)
	n := &wire.Node{Name: "e1", Caller: "10.0.0.9:80"}
	r.nodes[0].ObserveInstance(r.now, n)
	r.pass(Period)
	is.Equal(len(r.nodes[2].Instances(r.now)), 1)
	for range int(nodeLife/Period) + 1 {
		r.pass(Period)
	}
	for _, g := range r.nodes {
		is.Equal(len(g.Instances(r.now)), 0)
	}
}

func TestWatcherLearnsOnlyWhatIsNew(t *testing.T) {
	is := is.New(t)
	r := newRing(1)
	g := r.nodes[0]
	g.Announce(r.now, record("t1", 1, 1, ready))
	g.ObserveInstance(r.now, &wire.Node{Name: "e1"})
	news := g.ChangesSince(r.now, 0)
	is.Equal(len(news.Records), 1)
	is.Equal(len(news.Seen), 1)
	at := g.Counter()
	g.Announce(r.now, record("t1", 1, 2, ready))
	g.ObserveInstance(r.now.Add(time.Second), &wire.Node{Name: "e1"})
	is.Equal(g.Counter(), at)
	g.ReportLosses(r.now, []*wire.Loss{{Fingerprint: []byte("x"), Target: "t1"}}, true)
	news = g.ChangesSince(r.now, at)
	is.Equal(len(news.Records)+len(news.Seen), 0)
	is.Equal(len(news.Losses), 1)
}

package replicator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a follower that dates its state by when a message arrived, which may have been under way while changes
// were acknowledged elsewhere.
func TestMessagesUnderWayDoNotDateTheState(t *testing.T) {
	is := is.New(t)
	run := func(naive bool) string {
		return firstViolation(300, func(seed uint64) {
			g := newGroup(panicReporter{}, seed, 3)
			g.naiveDate = naive
			g.run(scheduleSteps, false)
		})
	}
	is.True(run(true) != "") // the schedules must find the naive version
	is.Equal(run(false), "")
}

// Guards against a follower that counts as current although it misses only the leader's messages.
func TestFollowerCutFromTheLeaderIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1, 5)
	l := g.converge()
	var cut *testReplica
	for _, n := range g.replicas {
		if n != l {
			cut = n
		}
	}
	g.runFor(time.Second)
	is.True(cut.clock.Sub(cut.ConfirmedAt()) < 2*testTiming.Heartbeat)
	g.block(l, cut, true)
	g.runFor(time.Second)
	is.True(cut.clock.Sub(cut.ConfirmedAt()) >= 900*time.Millisecond)
	g.block(l, cut, false)
	g.runFor(time.Second)
	is.True(cut.clock.Sub(cut.ConfirmedAt()) < 2*testTiming.Heartbeat)
}

// Guards against a group that calls its state the newest before it has elected a leader after the restart of all.
func TestNothingIsConfirmedBeforeAnElection(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1, 5)
	g.converge()
	for _, n := range g.replicas {
		g.boot(n)
	}
	for range 20 {
		g.runFor(5 * time.Millisecond)
		for _, n := range g.replicas {
			is.True(g.leader() != nil || n.ConfirmedAt().IsZero())
		}
	}
	g.converge()
	g.runFor(100 * time.Millisecond)
	for _, n := range g.replicas {
		is.True(!n.ConfirmedAt().IsZero())
	}
}

// Guards against a second without a leader after the restart of all replicas: none of them votes as long as the leader of
// before may hold a lease, although it has restarted, too, and holds none.
func TestFormerLeaderIsElectedAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		g := newGroup(t, seed, 5)
		l := g.converge()
		for _, n := range g.replicas {
			g.boot(n)
		}
		g.inFlight = nil
		g.runFor(testTiming.Heartbeat + 20*time.Millisecond)
		is.Equal(g.leader(), l)
	}
}

// Guards against a former leader that takes the votes of replicas which follow another one by now.
func TestFormerLeaderDoesNotReplaceItsSuccessor(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1, 5)
	l := g.converge()
	l.up = false
	g.runFor(time.Second)
	successor := g.leader()
	is.True(successor != nil && successor != l)
	g.boot(l)
	g.runFor(testTiming.Election)
	is.Equal(g.leader(), successor)
	is.Equal(l.Role(), Follower)
}

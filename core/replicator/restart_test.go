package replicator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// intercept takes the messages to a replica out of those in flight.
func (g *group) intercept(n *testReplica) []*wire.Message {
	var taken, rest []*wire.Message
	for _, m := range g.inFlight {
		if idOf(m.GetTo()) == idOf(n.disk.self) {
			taken = append(taken, m)
			continue
		}
		rest = append(rest, m)
	}
	g.inFlight = rest
	return taken
}

// followerOf returns a replica that follows the given leader.
func (g *group) followerOf(l *testReplica) *testReplica {
	for _, n := range g.replicas {
		if n != l {
			return n
		}
	}
	return nil
}

// Guards against a restarted follower that dates its state by a round which its former run had answered.
func TestRoundOfAFormerRunDoesNotDateTheState(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1, 3)
	l := g.converge()
	f := g.followerOf(l)
	g.advance(testTiming.Heartbeat)
	g.deliverAll()
	g.propose(l)
	late := g.intercept(f)
	is.Equal(len(late), 1)
	is.Equal(late[0].GetAnswered(), late[0].GetRound()) // the former run has answered the message's own round
	acknowledged := len(g.acks)
	g.deliverAll()
	is.Equal(len(g.acks), acknowledged+1)
	g.boot(f)
	g.advance(time.Millisecond)
	g.inFlight = late
	g.deliverAll()
	g.advance(time.Millisecond) // fails if the follower calls its state the newest
	is.True(f.ConfirmedAt().IsZero())
}

// Guards against a restarted follower that is not confirmed again by the leader that it had before.
func TestRestartedFollowerIsConfirmedAgain(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1, 3)
	l := g.converge()
	f := g.followerOf(l)
	g.boot(f)
	g.runFor(3 * testTiming.Heartbeat)
	is.Equal(g.leader(), l)
	is.True(f.clock.Sub(f.ConfirmedAt()) < 2*testTiming.Heartbeat)
}

// Guards against replicas that are never confirmed again, or an older version that no longer is, while a group is updated
// one replica after the other.
func TestConfirmationDuringAnUpdate(t *testing.T) {
	g := newGroup(t, 1, 3)
	g.older = map[string]bool{"c1": true, "c2": true, "c3": true}
	for _, n := range g.replicas {
		g.boot(n)
	}
	l := g.converge()
	f := g.followerOf(l)
	confirmed := func(n *testReplica) bool { return n.clock.Sub(n.ConfirmedAt()) < 2*testTiming.Heartbeat }

	t.Run("older leader and follower", func(t *testing.T) {
		g.runFor(3 * testTiming.Heartbeat)
		is.New(t).True(confirmed(f))
	})
	t.Run("older leader", func(t *testing.T) {
		is := is.New(t)
		g.update(f)
		g.runFor(3 * testTiming.Heartbeat)
		is.Equal(g.leader(), l)
		is.True(f.ConfirmedAt().IsZero()) // the leader can't tell which run has answered
	})
	t.Run("older followers", func(t *testing.T) {
		is := is.New(t)
		g.update(l)
		is.Equal(g.converge(), l) // the former leader is elected at once
		g.runFor(3 * testTiming.Heartbeat)
		for _, n := range g.replicas {
			is.True(confirmed(n))
		}
	})
}

// update restarts a replica of an older version with the present one.
func (g *group) update(n *testReplica) {
	delete(g.older, n.disk.self.GetName())
	g.boot(n)
}

// Guards against a restarted follower that dates its state by a round of its former run, in random schedules that found one.
func TestSchedulesThatDatedAFormerRun(t *testing.T) {
	for _, seed := range []uint64{0xd2d4a, 0x1d85, 0x238b0ba12eb763b2} {
		is := is.New(t)
		is.Equal(attempt(seed, func(seed uint64) {
			g := newGroup(panicReporter{}, seed, 3)
			g.run(scheduleSteps, true)
			g.checkAcknowledged(g.converge())
		}), "")
	}
}

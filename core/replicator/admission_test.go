package replicator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// add starts a replica with an empty disk under a name of its own.
func (g *group) add(name string) *testReplica {
	n := &testReplica{disk: &disk{self: g.newMember(name), vote: &wire.Vote{}}, clock: g.now, clockRate: 1000}
	g.replicas = append(g.replicas, n)
	g.boot(n)
	return n
}

// voterNames returns the names of the voters as the leader has them.
func (g *group) voterNames(l *testReplica) map[string]bool {
	out := map[string]bool{}
	for _, m := range l.voters() {
		out[m.GetName()] = true
	}
	return out
}

// An instance is gone for good, and another one takes its place under a new address. Without its seat the group
// would stand one loss closer to its end for ever.
func TestNewReplicaReplacesSilentVoter(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1, 3)
	g.runFor(time.Second)
	g.replicas[2].up = false
	newcomer := g.add("c9")
	g.runFor(200 * time.Millisecond)
	is.True(g.voterNames(g.leader())["c3"]) // not given away for a short absence
	g.runFor(4 * time.Second)
	l := g.leader()
	is.True(g.voterNames(l)["c9"])
	is.True(!g.voterNames(l)["c3"])
	g.propose(l)
	g.runFor(time.Second)
	is.Equal(newcomer.Committed(), l.Committed())
}

// The instance was only cut off, and comes back after its seat was given away. Its own log still counts it as a
// voter, so it would campaign for ever and hear of no change.
func TestReplacedReplicaRejoins(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 2, 3)
	g.runFor(time.Second)
	lost := g.replicas[2]
	if g.leader() == lost {
		lost = g.replicas[1]
	}
	lost.disconnected = true
	g.add("c9")
	g.runFor(4 * time.Second)
	is.True(g.voterNames(g.leader())["c9"])
	g.propose(g.leader())
	lost.disconnected = false
	g.runFor(4 * time.Second)
	is.Equal(lost.Committed(), g.leader().Committed())
	is.Equal(len(g.leader().voters()), 3)
}

// A newcomer knows one controller only, and that one does not lead.
func TestFollowersForwardJoins(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, 3)
	g.runFor(time.Second)
	l := g.leader()
	follower := g.replicas[0]
	if follower == l {
		follower = g.replicas[1]
	}
	follower.Step(follower.clock, &wire.Message{Kind: wire.MessageKind_MESSAGE_JOIN, From: &wire.Member{Name: "c9", Incarnation: 77}})
	forwarded := follower.Ready().Messages
	is.Equal(len(forwarded), 1)
	is.Equal(forwarded[0].GetTo().GetName(), l.disk.self.GetName())
	is.Equal(forwarded[0].GetFrom().GetName(), "c9")
}

// More instances than seats: those without one learn everything, and the group is no slower for them.
func TestMoreReplicasThanVoters(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 4, 3)
	g.add("c8")
	spare := g.add("c9")
	g.runFor(4 * time.Second)
	l := g.leader()
	is.Equal(len(l.voters()), 3)
	is.Equal(spare.Committed(), l.Committed())
	spare.up = false
	g.runFor(4 * time.Second)
	is.Equal(len(g.leader().Members()), 4)
}

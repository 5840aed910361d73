package replicator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// add starts a replica with an empty disk under a new name.
func (g *group) add(name string) *testReplica {
	n := &testReplica{disk: &disk{self: g.newMember(name), vote: &wire.Vote{}}, clock: g.now, clockRate: 1000}
	g.replicas = append(g.replicas, n)
	g.boot(n)
	return n
}

// voterNames returns the names of the voters in the leader's replica set.
func (g *group) voterNames(l *testReplica) map[string]bool {
	out := map[string]bool{}
	for _, m := range l.voters() {
		out[m.GetName()] = true
	}
	return out
}

// An instance is lost permanently, and another one starts under a new address. Unless it gets the lost instance's vote,
// the group permanently survives one loss less.
func TestNewReplicaReplacesSilentVoter(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1, 3)
	g.runFor(time.Second)
	g.replicas[2].up = false
	newcomer := g.add("c9")
	g.runFor(200 * time.Millisecond)
	is.True(g.voterNames(g.leader())["c3"]) // not replaced after a short absence
	g.runFor(4 * time.Second)
	l := g.leader()
	is.True(g.voterNames(l)["c9"])
	is.True(!g.voterNames(l)["c3"])
	g.propose(l)
	g.runFor(time.Second)
	is.Equal(newcomer.Committed(), l.Committed())
}

// An instance that was only cut off returns after its vote was given to another one. By its own log it still is a
// voter, so it would campaign for ever and receive no changes.
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

// A new replica knows one controller only, and that one does not lead.
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

// With more instances than voters, those without a vote still replicate everything and do not slow the group down; one
// of them that stops is removed.
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

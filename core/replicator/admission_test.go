package replicator

import (
	"fmt"
	"os"
	"regexp"
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

// catchUpTime is how long after the return of a replica with an empty disk the next disk may be lost. It is four election
// time-outs, as in the smallest deployment.
const catchUpTime = 400 * time.Millisecond

// loseDisk makes a replica lose its disk, lets it return after a short time, and waits for catchUpTime.
func (g *group) loseDisk(n *testReplica) {
	n.up = false
	g.runFor(30 * time.Millisecond)
	g.replaceDisk(n)
	g.runFor(catchUpTime)
}

// Guards against a group that never elects a leader again: disks are lost one at a time, one of them the leader's, and
// each lost disk keeps its vote until a leader has found it silent for as long as an instance that may come back.
func TestDisksLostInTurnLeaveAGroup(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		g := newGroup(t, seed, 5)
		g.timing.ReplaceAfter = 6 * g.timing.Election
		for _, n := range g.replicas {
			g.boot(n)
		}
		g.runFor(5 * time.Second)
		for range 8 {
			l := g.leader()
			is.True(l != nil)
			g.propose(l)
			lost := g.replicas[g.pick(len(g.replicas)-1)]
			if g.pick(1) == 0 {
				lost = l
			}
			g.loseDisk(lost)
			if !g.allVotersIntact() {
				t.Fatalf("seed %d: a lost disk still has a vote", seed)
			}
		}
		g.checkAcknowledged(g.converge())
	}
}

// deployed returns the timing of the deployment, at the scale of the tests.
func deployed(t *testing.T) Timing {
	t.Helper()
	is := is.New(t)
	settings, err := os.ReadFile("../../deploy/controller.ini")
	is.NoErr(err)
	value := func(key string) time.Duration {
		m := regexp.MustCompile(`(?m)^` + key + ` = (\S+)$`).FindSubmatch(settings)
		is.True(m != nil)
		d, err := time.ParseDuration(string(m[1]))
		is.NoErr(err)
		return d
	}
	scale := value("election") / testTiming.Election
	return Timing{
		Election: value("election") / scale, Heartbeat: value("heartbeat") / scale, ReplaceAfter: value("replace") / scale,
	}
}

// Guards against a group that never elects a leader again: instances are lost for good one at a time, one of them the
// leader, and each keeps its vote until another leader has found it silent, although its successor is there.
func TestInstancesReplacedInTurnLeaveAGroup(t *testing.T) {
	for seed := range uint64(200) {
		g := newGroup(t, seed, 5)
		g.timing = deployed(t)
		for _, n := range g.replicas {
			g.boot(n)
		}
		g.runFor(5 * time.Second)
		for i := range 6 {
			l := g.leader()
			if l == nil {
				t.Fatalf("seed %d: no leader after %d losses", seed, i)
			}
			g.propose(l)
			lost := l
			for g.pick(1) == 0 || !lost.up {
				lost = g.replicas[g.pick(len(g.replicas)-1)]
			}
			lost.up = false
			g.runFor(30 * time.Millisecond)
			g.add(fmt.Sprintf("successor%d", i))
			g.runFor(catchUpTime)
		}
		g.runFor(time.Second)
		if g.leader() == nil {
			t.Fatalf("seed %d: no leader at the end", seed)
		}
	}
}

// Guards against two processes started under one name by mistake, at two addresses, that replace each other in turn.
func TestProcessesUnderOneNameDoNotReplaceEachOther(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1, 3)
	g.runFor(time.Second)
	l := g.leader()
	other := g.newMember("c2")
	if l.disk.self.GetName() == "c2" {
		other.Name = "c3"
	}
	other.Address = "10.0.0.9:7000"
	for range 100 {
		l.Step(l.clock, &wire.Message{Kind: wire.MessageKind_MESSAGE_JOIN, From: other})
		g.runFor(20 * time.Millisecond)
	}
	is.Equal(len(l.Members()), 3)
	is.True(!l.isMember(idOf(other)))
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

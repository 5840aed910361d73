package replicator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// take removes the messages of a kind from those in flight and returns them.
func (g *group) take(kind wire.MessageKind) []*wire.Message {
	var taken, rest []*wire.Message
	for _, m := range g.inFlight {
		if m.GetKind() == kind {
			taken = append(taken, m)
			continue
		}
		rest = append(rest, m)
	}
	g.inFlight = rest
	return taken
}

// Guards against a lease that counts from rejections of what the leader sent before its restart, and two leaders that hold
// one.
func TestRoundOfAFormerTermDoesNotExtendTheLease(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 8, 3)
	l := g.converge()
	g.advance(testTiming.Heartbeat + time.Millisecond)
	former := g.take(wire.MessageKind_MESSAGE_APPEND)
	term, round := l.Term(), l.round
	g.boot(l)
	is.Equal(g.converge(), l) // the former leader is elected at once
	is.True(l.Term() > term)
	is.True(l.round < round) // the rounds have begun anew
	g.inFlight = former
	for len(g.inFlight) > 0 && g.inFlight[0].GetKind() == wire.MessageKind_MESSAGE_APPEND {
		g.deliver(0, false)
	}
	rejections := g.take(wire.MessageKind_MESSAGE_APPEND_REPLY)
	is.Equal(len(rejections), len(former))
	for l.round < round-1 {
		g.runFor(5 * time.Millisecond)
	}
	l.disconnected = true
	for l.round < round {
		g.runFor(5 * time.Millisecond)
	}
	deadline := l.LeaseDeadline(l.clock)
	for _, m := range rejections {
		l.Step(l.clock, m)
	}
	is.Equal(l.LeaseDeadline(l.clock), deadline)
	g.runFor(2 * testTiming.Election) // fails if two replicas hold a lease
}

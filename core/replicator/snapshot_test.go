package replicator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// A delayed snapshot arrives after the replica has stored and acknowledged entries beyond it. Dropping those would
// revoke an acknowledgement that a leader may have counted: an accepted change could be lost with the next failure, and
// the leader would endlessly offer entries that the replica rejects.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	is := is.New(t)
	g := newGroup(panicReporter{}, 1, 3)
	n := g.replicas[1]
	from := g.replicas[0].disk.self
	var entries []*wire.Entry
	for i := range uint64(4) {
		entries = append(entries, &wire.Entry{Index: 2 + i, Term: 1})
	}
	n.Step(n.clock, &wire.Message{
		Kind: wire.MessageKind_MESSAGE_APPEND, Group: 7, Term: 1, From: from, To: n.disk.self,
		Index: 1, Logterm: 1, Entries: entries, Commit: 2,
	})
	is.Equal(n.log.last(), uint64(5))
	n.Step(n.clock, &wire.Message{
		Kind: wire.MessageKind_MESSAGE_SNAPSHOT, Group: 7, Term: 1, From: from, To: n.disk.self,
		Snapshot: &wire.Snapshot{Index: 3, Term: 1, Config: n.disk.snapshot.GetConfig()},
	})
	is.Equal(n.log.last(), uint64(5)) // nothing acknowledged is dropped
	is.Equal(n.Committed(), uint64(3))
	is.Equal(n.Ready().Snapshot, nil)
}

// proposeWithout makes a leader propose some entries of a size, which one replica does not get.
func (g *group) proposeWithout(l, absent *testReplica, entries, size int) {
	g.block(l, absent, true)
	for range entries {
		index, term, err := l.Propose(make([]byte, size))
		if err != nil {
			g.t.Fatalf("%s does not lead: %v", l.disk.self.GetName(), err)
		}
		g.pending[index] = term
		l.Flush(l.clock)
		g.processReady(l, false)
		g.runFor(5 * time.Millisecond)
	}
}

// Guards against a log that keeps entries which two snapshots cover, and against snapshots for replicas that are a little
// behind: while large entries are added, a slow one would get one after the other and never the log that follows.
func TestEntriesOfOneSnapshotAreKept(t *testing.T) {
	for name, compactions := range map[string]int{"one snapshot": 1, "two snapshots": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGroup(panicReporter{}, 1, 3)
			l := g.converge()
			behind := g.replicas[0]
			if behind == l {
				behind = g.replicas[1]
			}
			before := behind.log.snapshot.GetIndex()
			for range compactions {
				g.proposeWithout(l, behind, 6, 1000)
				g.compact(l)
			}
			is.True(len(l.log.entries) <= 8) // those since the snapshot before
			g.converge()
			is.Equal(behind.log.snapshot.GetIndex() == before, compactions == 1)
			is.Equal(behind.log.last(), l.log.last())
		})
	}
}

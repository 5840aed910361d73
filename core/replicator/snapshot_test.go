package replicator

import (
	"testing"

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

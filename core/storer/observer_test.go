package storer

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// syncLog holds the names of the files whose syncs have ended, since it was last read.
type syncLog struct{ names []string }

func (s *syncLog) Observe(path string) func() {
	return func() { s.names = append(s.names, filepath.Base(path)) }
}

// assertSynced fails unless a file with a prefix was synced since the last call.
func (s *syncLog) assertSynced(t *testing.T, prefix string) {
	t.Helper()
	is := is.New(t)
	found := false
	for _, name := range s.names {
		found = found || strings.HasPrefix(name, prefix)
	}
	is.True(found)
	s.names = nil
}

// Guards against a slow disk that stays unseen because some of its syncs are not measured.
func TestSyncsAreObserved(t *testing.T) {
	is := is.New(t)
	folder, syncs := t.TempDir(), &syncLog{}
	s := Storer{Folder: folder, Observer: syncs}
	_, err := s.Open()
	is.NoErr(err)
	syncs.assertSynced(t, filepath.Base(folder))
	is.NoErr(s.Save(nil, []*wire.Entry{largeEntry(1)}))
	syncs.assertSynced(t, segmentPrefix)
	_, err = s.Reopen()
	is.NoErr(err)
	syncs.assertSynced(t, probeFile)
	is.NoErr(s.SaveSnapshot(&wire.Snapshot{Index: 1, Term: 1}, false))
	syncs.assertSynced(t, snapshotPrefix)
	is.NoErr(s.Close())
	is.NoErr((&HostStore{Folder: folder, Observer: syncs}).Save(nil))
	syncs.assertSynced(t, hostsFile)
	leaves := LeaveStore{Folder: folder, Observer: syncs}
	_, err = leaves.Load()
	is.NoErr(err)
	syncs.names = nil
	is.NoErr(leaves.Append([]*wire.Record{leaveOf(0)}))
	syncs.assertSynced(t, leavesFile)
}

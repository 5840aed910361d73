package storer

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

func entry(index, term uint64) *wire.Entry {
	return &wire.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "value %d of term %d", index, term)}
}

func openAt(t *testing.T, folder string) (*Storer, *Recovered) {
	t.Helper()
	s := &Storer{Folder: folder}
	r, err := s.Open()
	is.New(t).NoErr(err)
	return s, r
}

func assertLast(t *testing.T, r *Recovered, index, term uint64) {
	t.Helper()
	is := is.New(t)
	is.True(len(r.Entries) > 0)
	last := r.Entries[len(r.Entries)-1]
	is.Equal(last.GetIndex(), index)
	is.Equal(last.GetTerm(), term)
}

func TestRecovery(t *testing.T) {
	folder := t.TempDir()
	t.Run("entries and vote", func(t *testing.T) {
		is := is.New(t)
		s, _ := openAt(t, folder)
		is.NoErr(s.Save(&wire.Vote{Term: 3}, []*wire.Entry{entry(1, 1), entry(2, 1), entry(3, 3)}))
		is.NoErr(s.Close())
		_, r := openAt(t, folder)
		assertLast(t, r, 3, 3)
		is.Equal(r.Vote.GetTerm(), uint64(3))
	})
	t.Run("rewritten entries", func(t *testing.T) {
		is := is.New(t)
		s, _ := openAt(t, folder)
		is.NoErr(s.Save(nil, []*wire.Entry{entry(2, 4)}))
		_, r := openAt(t, folder)
		assertLast(t, r, 2, 4)
	})
	t.Run("snapshot and tail", func(t *testing.T) {
		is := is.New(t)
		s, _ := openAt(t, folder)
		is.NoErr(s.Save(nil, []*wire.Entry{entry(3, 4), entry(4, 4)}))
		is.NoErr(s.SaveSnapshot(&wire.Snapshot{Index: 3, Term: 4, Data: []byte("state")}, false))
		is.NoErr(s.Save(nil, []*wire.Entry{entry(5, 4)}))
		_, r := openAt(t, folder)
		is.Equal(r.Snapshot.GetIndex(), uint64(3))
		is.Equal(len(r.Entries), 2)
		assertLast(t, r, 5, 4)
	})
	t.Run("a leader's snapshot replaces the log", func(t *testing.T) {
		is := is.New(t)
		s, _ := openAt(t, folder)
		is.NoErr(s.SaveSnapshot(&wire.Snapshot{Index: 90, Term: 6}, true))
		_, r := openAt(t, folder)
		is.Equal(len(r.Entries), 0)
		is.Equal(r.Snapshot.GetIndex(), uint64(90))
	})
}

// newestSegment returns the path of the segment being written.
func newestSegment(t *testing.T, s *Storer) string {
	t.Helper()
	return filepath.Join(s.Folder, segmentPrefix+formatSerial(s.serial))
}

// The power fails during a write. Records acknowledged before must be recovered, and the incomplete record, which was
// never acknowledged, must not prevent the controller from starting.
func TestTornTailIsTruncated(t *testing.T) {
	is := is.New(t)
	torn := appendMessage(nil, recordEntry, entry(3, 1))
	for cut := 1; cut < len(torn); cut += 3 {
		s, _ := openAt(t, t.TempDir())
		is.NoErr(s.Save(nil, []*wire.Entry{entry(1, 1), entry(2, 1)}))
		path := newestSegment(t, s)
		contents, err := os.ReadFile(path)
		is.NoErr(err)
		is.NoErr(os.WriteFile(path, append(contents, torn[:cut]...), fileMode))
		_, r := openAt(t, s.Folder)
		assertLast(t, r, 2, 1)
	}
}

// Several entries are saved in one write, the power fails before the sync, and only the later sectors of the write
// reached the disk. The entries were never acknowledged, so the controller must start with those acknowledged before.
// If it refuses to, an operator has to clear its disk by hand, and the loss of a second disk would stop all changes.
func TestTornBatchIsTruncated(t *testing.T) {
	for torn := range 20 {
		t.Run(fmt.Sprint(torn), func(t *testing.T) {
			is := is.New(t)
			s, _ := openAt(t, t.TempDir())
			is.NoErr(s.Save(nil, []*wire.Entry{entry(1, 1), entry(2, 1)}))
			at := s.segmentSize
			is.NoErr(s.Save(&wire.Vote{Term: 2}, []*wire.Entry{entry(3, 2), entry(4, 2), entry(5, 2)}))
			path := newestSegment(t, s)
			data, err := os.ReadFile(path)
			is.NoErr(err)
			data[at+int64(torn)] ^= 0xff
			is.NoErr(os.WriteFile(path, data, fileMode))
			_, r := openAt(t, s.Folder)
			assertLast(t, r, 2, 1)
			is.Equal(r.Vote.GetTerm(), uint64(0))
		})
	}
}

// A controller starts with a data folder written by an earlier release, which stored entries as single records instead
// of batches.
func TestUnbatchedRecordsAreRead(t *testing.T) {
	is := is.New(t)
	s, _ := openAt(t, t.TempDir())
	is.NoErr(s.write(appendMessage(nil, recordEntry, entry(1, 1))))
	is.NoErr(s.write(appendMessage(nil, recordEntry, entry(2, 1))))
	_, r := openAt(t, s.Folder)
	assertLast(t, r, 2, 1)
}

// A bit flips in an acknowledged record. Starting without the record would undo an accepted change, so the controller
// refuses to start and reports the file and the offset.
func TestDamagedAcknowledgedRecordIsRefused(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s, _ := openAt(t, folder)
	is.NoErr(s.Save(nil, []*wire.Entry{entry(1, 1)}))
	at := s.segmentSize
	is.NoErr(s.Save(nil, []*wire.Entry{entry(2, 1)}))
	is.NoErr(s.Save(nil, []*wire.Entry{entry(3, 1)}))
	path := newestSegment(t, s)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	data[at+headerSize] ^= 1
	is.NoErr(os.WriteFile(path, data, fileMode))
	_, err = (&Storer{Folder: folder}).Open()
	var damage *DamageError
	is.True(errors.As(err, &damage))
	is.Equal(damage.Path, path)
	is.Equal(damage.Offset, at)
}

// A sync fails. The kernel may report the failure only once, so the next sync could succeed although data are missing.
// Nothing may be acknowledged from then on.
func TestFailedSyncIsFinal(t *testing.T) {
	is := is.New(t)
	s, _ := openAt(t, t.TempDir())
	is.NoErr(s.Save(nil, []*wire.Entry{entry(1, 1)}))
	is.NoErr(s.segment.Close())
	var failure *FileError
	is.True(errors.As(s.Save(nil, []*wire.Entry{entry(2, 1)}), &failure))
	reopened, err := os.OpenFile(newestSegment(t, s), os.O_WRONLY|os.O_APPEND, fileMode)
	is.NoErr(err)
	s.segment = reopened
	is.True(errors.As(s.Save(nil, []*wire.Entry{entry(3, 1)}), &failure))
}

// The replica crashes after it stored a snapshot from a leader and before it dropped the old log. The remaining entries
// must not be taken for entries after the snapshot.
func TestReplacedLogIsDropped(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s, _ := openAt(t, folder)
	is.NoErr(s.Save(nil, []*wire.Entry{entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)}))
	snapshot := appendMessage(nil, recordSnapshot, &wire.Snapshot{Index: 2, Term: 5})
	is.NoErr(s.replaceFile(snapshotPrefix+formatSerial(2), snapshot))
	_, r := openAt(t, folder)
	is.Equal(len(r.Entries), 0)
	is.Equal(r.Snapshot.GetTerm(), uint64(5))
}

func TestSegmentsArePruned(t *testing.T) {
	is := is.New(t)
	s, _ := openAt(t, t.TempDir())
	large := make([]byte, 1<<20)
	for i := range uint64(30) {
		is.NoErr(s.Save(nil, []*wire.Entry{{Index: i + 1, Term: 1, Data: large}}))
	}
	is.NoErr(s.SaveSnapshot(&wire.Snapshot{Index: 30, Term: 1}, false))
	names, err := s.list(segmentPrefix)
	is.NoErr(err)
	is.Equal(len(names), 1)
	_, r := openAt(t, s.Folder)
	is.Equal(len(r.Entries), 0)
	is.Equal(r.Snapshot.GetIndex(), uint64(30))
}

// Guards against a disk that fills with parts of snapshots while a controller is killed again and again as it writes them.
func TestPartsOfFilesAreRemovedAtTheStart(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	for _, name := range []string{"snapshot-00000000000000000007.new", "identity.new"} {
		is.NoErr(os.WriteFile(filepath.Join(folder, name), make([]byte, 1000), 0o600))
	}
	s := &Storer{Folder: folder}
	_, err := s.Open()
	is.NoErr(err)
	is.NoErr(s.Close())
	left, err := filepath.Glob(filepath.Join(folder, "*.new"))
	is.NoErr(err)
	is.Equal(len(left), 0)
}

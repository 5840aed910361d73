package storer

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

func leaveOf(i int) *wire.Record {
	return &wire.Record{Name: fmt.Sprintf("t%d", i), Incarnation: uint64(i + 1), State: wire.TargetState_TARGET_GONE}
}

// assertLeaves loads the file of a folder and fails unless it holds the leaves from first to last.
func assertLeaves(t *testing.T, folder string, first, last int) *LeaveStore {
	t.Helper()
	is := is.New(t)
	l := &LeaveStore{Folder: folder}
	list, err := l.Load()
	is.NoErr(err)
	is.Equal(len(list), last-first+1)
	for i, r := range list {
		is.Equal(r.GetName(), leaveOf(first+i).GetName())
		is.Equal(r.GetIncarnation(), leaveOf(first+i).GetIncarnation())
	}
	return l
}

// Guards against leaves that were acknowledged and are lost with a restart, also after a write that a crash interrupted.
func TestLeavesOutliveRestarts(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l := assertLeaves(t, folder, 0, -1)
	is.NoErr(l.Append([]*wire.Record{leaveOf(0), leaveOf(1)}))
	is.NoErr(l.Append([]*wire.Record{leaveOf(2)}))
	l = assertLeaves(t, folder, 0, 2)
	is.NoErr(l.Append([]*wire.Record{leaveOf(3)}))
	path := filepath.Join(folder, leavesFile)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, data[:len(data)-1], fileMode)) // the last record is torn
	l = assertLeaves(t, folder, 0, 2)
	is.NoErr(l.Append([]*wire.Record{leaveOf(3)}))
	assertLeaves(t, folder, 0, 3)
}

// Guards against a file of leaves that fills the disk; the newest leaves stay.
func TestLeavesAreBounded(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l := assertLeaves(t, folder, 0, -1)
	const count = 100_000
	var batch []*wire.Record
	for i := range count {
		if batch = append(batch, leaveOf(i)); len(batch) == 1000 {
			is.NoErr(l.Append(batch))
			batch = nil
		}
	}
	info, err := os.Stat(filepath.Join(folder, leavesFile))
	is.NoErr(err)
	is.True(info.Size() <= maxLeavesSize)
	list, err := (&LeaveStore{Folder: folder}).Load()
	is.NoErr(err)
	is.True(len(list) > 1000)
	is.Equal(list[len(list)-1].GetName(), leaveOf(count-1).GetName())
}

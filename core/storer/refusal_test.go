package storer

import (
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// faultyDisk opens real files. While left is not negative, only so many more bytes are written, and while noSync is set no
// sync succeeds, although what was written can be read.
type faultyDisk struct {
	left   int
	noSync bool
}

type faultyFile struct {
	*os.File
	disk *faultyDisk
}

func (d *faultyDisk) OpenFile(path string, flag int, mode fs.FileMode) (File, error) {
	file, err := os.OpenFile(path, flag, mode)
	return &faultyFile{file, d}, err
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if f.disk.left < 0 || len(b) <= f.disk.left {
		f.disk.left = max(-1, f.disk.left-len(b))
		return f.File.Write(b)
	}
	n, _ := f.File.Write(b[:f.disk.left])
	f.disk.left = 0
	return n, syscall.ENOSPC
}

func (f *faultyFile) Sync() error {
	if f.disk.noSync {
		return syscall.EIO
	}
	return f.File.Sync()
}

func largeEntry(index uint64) *wire.Entry {
	return &wire.Entry{Index: index, Term: 1, Data: make([]byte, 1000)}
}

func assertEntries(t *testing.T, r *Recovered, want int) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(r.Entries), want)
	for i, e := range r.Entries {
		is.Equal(e.GetIndex(), uint64(i+1))
	}
}

// Guards against controllers that end because their disk takes no bytes, against entries that are taken for durable after a
// write or a sync has failed, and against parts of files that keep a full disk full.
func TestStorerGoesOnOnceTheDiskTakesBytes(t *testing.T) {
	for name, breakDisk := range map[string]func(d *faultyDisk){
		"full":              func(d *faultyDisk) { d.left = 0 },
		"full, torn write":  func(d *faultyDisk) { d.left = 700 },
		"syncs are refused": func(d *faultyDisk) { d.noSync = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			disk := &faultyDisk{left: -1}
			s := &Storer{Folder: t.TempDir(), Opener: disk}
			_, err := s.Open()
			is.NoErr(err)
			is.NoErr(s.Save(&wire.Vote{Term: 1}, []*wire.Entry{largeEntry(1), largeEntry(2)}))
			breakDisk(disk)
			is.True(Refused(s.Save(&wire.Vote{Term: 7}, []*wire.Entry{largeEntry(3)})))
			for range 3 {
				_, err = s.Reopen()
				is.True(Refused(err))
			}
			*disk = faultyDisk{left: -1}
			recovered, err := s.Reopen()
			is.NoErr(err)
			assertEntries(t, recovered, 2)
			is.Equal(recovered.Vote.GetTerm(), uint64(1))
			is.NoErr(s.Save(nil, []*wire.Entry{largeEntry(3)}))
			is.NoErr(s.Close())
			recovered, err = (&Storer{Folder: s.Folder}).Open()
			is.NoErr(err)
			assertEntries(t, recovered, 3)
			left, err := filepath.Glob(filepath.Join(s.Folder, "*.new"))
			is.NoErr(err)
			is.Equal(len(left), 0)
		})
	}
}

// Guards against segments that can't be read after the disk was full while a new one was started.
func TestDiskIsFullWhenASegmentStarts(t *testing.T) {
	is := is.New(t)
	disk := &faultyDisk{left: -1}
	s := &Storer{Folder: t.TempDir(), Opener: disk}
	_, err := s.Open()
	is.NoErr(err)
	is.NoErr(s.Save(&wire.Vote{Term: 1}, []*wire.Entry{largeEntry(1)}))
	disk.left = 3000
	is.True(Refused(s.SaveSnapshot(&wire.Snapshot{Index: 1, Term: 1, Data: make([]byte, 2990)}, false)))
	_, err = s.Reopen()
	is.True(Refused(err))
	is.NoErr(s.Close())
	disk.left = -1
	recovered, err := s.Reopen()
	is.NoErr(err)
	is.Equal(recovered.Vote.GetTerm(), uint64(1))
	is.NoErr(s.Save(nil, []*wire.Entry{largeEntry(2)}))
}

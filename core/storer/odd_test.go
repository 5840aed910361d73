package storer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// fillFolder stores something in each file of a folder.
func fillFolder(t *testing.T, folder string) {
	t.Helper()
	is := is.New(t)
	s, _ := openAt(t, folder)
	is.NoErr(s.Save(&wire.Vote{Term: 1}, []*wire.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}))
	is.NoErr(s.SaveSnapshot(&wire.Snapshot{Index: 2, Term: 1, Data: []byte("state")}, false))
	is.NoErr(s.Save(nil, []*wire.Entry{entry(4, 1)}))
	is.NoErr(s.Close())
	is.NoErr((&HostStore{Folder: folder}).Save([]*wire.Host{{Object: 1, Target: "t"}}))
	leaves := &LeaveStore{Folder: folder}
	_, err := leaves.Load()
	is.NoErr(err)
	is.NoErr(leaves.Append([]*wire.Record{{Name: "t1", Incarnation: 1}, {Name: "t2", Incarnation: 2}}))
	leaves.close()
}

// openAll opens all files of a folder, and fails for an error of another type.
func openAll(t *testing.T, folder string) {
	t.Helper()
	_, err := (&Storer{Folder: folder}).Open()
	_, hosts := (&HostStore{Folder: folder}).Load()
	leaves := &LeaveStore{Folder: folder}
	_, left := leaves.Load()
	leaves.close()
	for _, err := range []error{err, hosts, left} {
		var damage *DamageError
		if err != nil && !errors.As(err, &damage) {
			t.Fatal(err)
		}
	}
}

// Guards against controllers that end when they read a stored file that was changed: each is read, or refused.
func TestChangedFilesAreReadOrRefused(t *testing.T) {
	const rounds = 400
	is := is.New(t)
	source := t.TempDir()
	fillFolder(t, source)
	files, err := os.ReadDir(source)
	is.NoErr(err)
	random := rand.New(rand.NewPCG(60, 2))
	folder := filepath.Join(t.TempDir(), "copy")
	for range rounds {
		is.NoErr(os.RemoveAll(folder))
		is.NoErr(os.CopyFS(folder, os.DirFS(source)))
		path := filepath.Join(folder, files[random.IntN(len(files))].Name())
		data, err := os.ReadFile(path)
		is.NoErr(err)
		for range 1 + random.IntN(3) {
			if len(data) == 0 {
				break
			}
			at := random.IntN(len(data))
			switch random.IntN(4) {
			case 0:
				data[at] = byte(random.Uint32())
			case 1:
				data = data[:at]
			case 2:
				data = append(data, data[at:]...)
			case 3:
				data = append(data[:at], append(bytes.Repeat([]byte{byte(random.Uint32())}, 64), data[at:]...)...)
			}
		}
		is.NoErr(os.WriteFile(path, data, fileMode))
		openAll(t, folder)
	}
}

// Guards against the same by records whose checksum is right and whose content is none.
func TestRecordsWithOddContentAreReadOrRefused(t *testing.T) {
	is := is.New(t)
	source := t.TempDir()
	fillFolder(t, source)
	files, err := os.ReadDir(source)
	is.NoErr(err)
	nested := bytes.Repeat([]byte{0x0b}, 1_000_000) // groups in groups
	lengths := []byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}
	part := append([]byte{byte(recordEntry)}, binary.LittleEndian.AppendUint32(nil, 1<<31)...)
	for kind := recordKind(0); kind <= recordLeave+1; kind++ {
		for _, content := range [][]byte{nil, {0}, {0xff}, nested, lengths, part, {0x08, 0xff, 0xff}, {0x12, 0x01, 0xff}} {
			for _, f := range files {
				folder := filepath.Join(t.TempDir(), "copy")
				is.NoErr(os.CopyFS(folder, os.DirFS(source)))
				is.NoErr(os.WriteFile(filepath.Join(folder, f.Name()), encodeRecord(kind, content), fileMode))
				openAll(t, folder)
			}
		}
	}
}

// Guards against a start that takes minutes, because the damaged end of a file looks like the heads of many long records.
func TestDamagedEndIsReadAtOnce(t *testing.T) {
	is := is.New(t)
	for _, b := range []byte{0, 1, 2, 6} {
		folder := t.TempDir()
		s, _ := openAt(t, folder)
		is.NoErr(s.Save(&wire.Vote{Term: 1}, []*wire.Entry{entry(1, 1)}))
		is.NoErr(s.Close())
		names, err := s.list(segmentPrefix)
		is.NoErr(err)
		path := filepath.Join(folder, names[len(names)-1])
		data, err := os.ReadFile(path)
		is.NoErr(err)
		head := append(binary.LittleEndian.AppendUint32(nil, 1<<16), 0, 0, 0, 0, b)
		is.NoErr(os.WriteFile(path, append(data, bytes.Repeat(head, 100_000)...), fileMode))
		began := time.Now()
		openAll(t, folder)
		t.Logf("%d: %v", b, time.Since(began))
		is.True(time.Since(began) < 5*time.Second)
	}
}

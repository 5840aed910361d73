package storer

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// Guards against reading a part of a file that was damaged by a power failure during a write or by a disk error:
// requests would be sent to targets that never held their objects. A file is read completely or refused.
func TestHostsFileIsReadCompletelyOrRefused(t *testing.T) {
	is := is.New(t)
	file := &HostStore{Folder: t.TempDir()}
	none, err := file.Load()
	is.NoErr(err)
	is.Equal(len(none), 0)
	is.NoErr(file.Save([]*wire.Host{{Object: 7, Service: "s", Target: "t", Region: "r"}}))
	is.NoErr(file.Save([]*wire.Host{{Object: 8, Service: "s", Target: "t", Region: "r"}}))
	list, err := file.Load()
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(list[0].GetObject(), uint64(8))
	path := filepath.Join(file.Folder, hostsFile)
	contents, err := os.ReadFile(path)
	is.NoErr(err)
	for name, data := range map[string][]byte{
		"torn": contents[:len(contents)-2], "empty": {}, "other": []byte("0123456789abcdef"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(os.WriteFile(path, data, fileMode))
			_, err := file.Load()
			var damage *DamageError
			is.True(errors.As(err, &damage))
		})
	}
}

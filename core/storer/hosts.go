package storer

import (
	"errors"
	"io/fs"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

const hostsFile = "hosts"

// HostStore keeps the objects' hosts in a file of their own. They are hints: lost ones cost slow runs, and neither reading nor
// writing them may hold up what binds.
type HostStore struct {
	Folder string
}

// Load reads the hosts that were last saved; none if there is no file.
func (h *HostStore) Load() ([]*wire.Host, error) {
	out := &wire.Hosts{}
	err := readMessage(filepath.Join(h.Folder, hostsFile), out)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return out.GetHosts(), nil
}

// Save replaces the file.
func (h *HostStore) Save(list []*wire.Host) error {
	data, err := proto.Marshal(&wire.Hosts{Hosts: list})
	if err != nil {
		return &FileError{Action: "encode", Path: hostsFile, Cause: err}
	}
	files := Storer{Folder: h.Folder}
	return files.replaceFile(hostsFile, encodeRecord(recordHosts, data))
}

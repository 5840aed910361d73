package storer

import (
	"errors"
	"io/fs"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

const hostsFile = "hosts"

// HostStore stores the hosts of objects in a file of its own. Hosts are hints: losing them only costs slow runs of
// requests, so neither reading nor writing them may delay records that have to be durable.
type HostStore struct {
	Folder string
	// Observer measures the syncs, unless it is nil.
	Observer Observer
}

// Load returns the hosts that were saved last, and none if there is no file. It returns a DamageError if the file can't
// be decoded.
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

// Save replaces the file durably and atomically.
func (h *HostStore) Save(list []*wire.Host) error {
	data, err := proto.Marshal(&wire.Hosts{Hosts: list})
	if err != nil {
		return &FileError{Action: "encode", Path: hostsFile, Cause: err}
	}
	files := Storer{Folder: h.Folder, Observer: h.Observer}
	return files.replaceFile(hostsFile, encodeRecord(recordHosts, data))
}

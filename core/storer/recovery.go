package storer

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// Recovered is what a data folder held when it was opened.
type Recovered struct {
	Identity *wire.Identity
	Vote     *wire.Vote
	Snapshot *wire.Snapshot
	Entries  []*wire.Entry
}

// readMessage reads a file that holds one record.
func readMessage(path string, out proto.Message) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &FileError{Action: "read", Path: path, Cause: err}
	}
	payload, _, err := decodeRecord(data)
	if err != nil {
		return &DamageError{Path: path, Offset: 0, Reason: err.Error()}
	}
	if err := proto.Unmarshal(payload.data, out); err != nil {
		return &DamageError{Path: path, Offset: 0, Reason: err.Error()}
	}
	return nil
}

func (s *Storer) readIdentity() (*wire.Identity, error) {
	identity := &wire.Identity{}
	err := readMessage(filepath.Join(s.Folder, identityFile), identity)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return identity, nil
}

func (s *Storer) readSnapshot() (*wire.Snapshot, error) {
	names, err := s.list(snapshotPrefix)
	if err != nil || len(names) == 0 {
		return nil, err
	}
	snapshot := &wire.Snapshot{}
	if err := readMessage(filepath.Join(s.Folder, names[len(names)-1]), snapshot); err != nil {
		return nil, err
	}
	return snapshot, nil
}

func (s *Storer) readSegments(out *Recovered) error {
	names, err := s.list(segmentPrefix)
	if err != nil {
		return err
	}
	for i, name := range names {
		if err := s.readSegment(name, i == len(names)-1, out); err != nil {
			return err
		}
	}
	return s.checkGap(out)
}

// checkGap refuses a log that does not join its snapshot: entries would silently be missing between.
func (s *Storer) checkGap(out *Recovered) error {
	if len(out.Entries) == 0 {
		return nil
	}
	if out.Entries[0].GetTerm() < out.Snapshot.GetTerm() {
		// A crash came after a leader's snapshot was stored and before the log it replaces was dropped.
		// Kept, the old tail would hide the snapshot's term, and this replica could vote for a
		// candidate that lacks what the snapshot holds.
		out.Entries = nil
		return nil
	}
	first := out.Entries[0].GetIndex()
	if first <= out.Snapshot.GetIndex()+1 {
		return nil
	}
	return &DamageError{Path: s.Folder, Reason: "entries between the snapshot and the log are missing"}
}

func (s *Storer) readSegment(name string, newest bool, out *Recovered) error {
	path := filepath.Join(s.Folder, name)
	data, err := os.ReadFile(path)
	if err != nil {
		return &FileError{Action: "read", Path: path, Cause: err}
	}
	serial := parseSerial(name, segmentPrefix)
	s.serial = max(s.serial, serial)
	offset := 0
	for offset < len(data) {
		record, size, err := decodeRecord(data[offset:])
		if err != nil {
			return s.judgeTail(path, data, offset, newest, err)
		}
		if err := s.recallAll(serial, record, out); err != nil {
			return &DamageError{Path: path, Offset: int64(offset), Reason: err.Error()}
		}
		offset += size
	}
	return nil
}

// judgeTail tells a write that a crash cut short, which was never acknowledged, from damage to records
// that were. Dropping the latter would undo an accepted change, so the replica refuses to start.
func (s *Storer) judgeTail(path string, data []byte, offset int, newest bool, cause error) error {
	if !newest || validAfter(data[offset:]) {
		return &DamageError{Path: path, Offset: int64(offset), Reason: cause.Error()}
	}
	return cutFile(path, int64(offset))
}

// cutFile syncs after it truncates: the cut tail could otherwise come back after a power loss, behind
// which newer segments stand, and look like damage to acknowledged records.
func cutFile(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return &FileError{Action: "open", Path: path, Cause: err}
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(size); err != nil {
		return &FileError{Action: "truncate", Path: path, Cause: err}
	}
	if err := file.Sync(); err != nil {
		return &FileError{Action: "sync", Path: path, Cause: err}
	}
	return nil
}

func (s *Storer) recallAll(serial uint64, r record, out *Recovered) error {
	all, err := parts(r)
	if err != nil {
		return err
	}
	for _, part := range all {
		if err := s.recall(serial, part, out); err != nil {
			return err
		}
	}
	return nil
}

func (s *Storer) recall(serial uint64, r record, out *Recovered) error {
	switch r.kind {
	case recordVote:
		vote := &wire.Vote{}
		if err := proto.Unmarshal(r.data, vote); err != nil {
			return err
		}
		out.Vote = vote
	case recordEntry:
		e := &wire.Entry{}
		if err := proto.Unmarshal(r.data, e); err != nil {
			return err
		}
		s.last[serial] = max(s.last[serial], e.GetIndex())
		out.Entries = place(out.Entries, e, out.Snapshot.GetIndex())
	case recordReset:
		out.Entries = nil
	case recordSnapshot, recordIdentity, recordBatch, recordHosts:
		return &formatError{"a record of another file"}
	}
	return nil
}

// place puts an entry in order; a rewritten index drops what stood there and after it.
func place(entries []*wire.Entry, e *wire.Entry, base uint64) []*wire.Entry {
	if e.GetIndex() <= base {
		return entries
	}
	for len(entries) > 0 && entries[len(entries)-1].GetIndex() >= e.GetIndex() {
		entries = entries[:len(entries)-1]
	}
	return append(entries, e)
}

package storer

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// Recovered is the content of a data folder when it was opened. Identity and Snapshot are nil if none was stored.
type Recovered struct {
	Identity *wire.Identity
	Vote     *wire.Vote
	Snapshot *wire.Snapshot
	Entries  []*wire.Entry
}

// probeSize is how many bytes a disk has to take before the folder is read again.
const probeSize = 64 << 10

// Reopen recovers after an error of Open, Save or SaveSnapshot, as Open does after a restart. It returns a FileError while
// the disk takes no bytes. What a failed write has left is removed first: after a failed sync it can be read although it
// is not durable, and an entry in it would be acknowledged.
func (s *Storer) Reopen() (*Recovered, error) {
	if err := os.MkdirAll(s.Folder, folderMode); err != nil {
		return nil, &FileError{Action: "create", Path: s.Folder, Cause: err}
	}
	if err := s.replaceFile(probeFile, make([]byte, probeSize)); err != nil {
		return nil, err
	}
	if err := os.Remove(filepath.Join(s.Folder, probeFile)); err != nil {
		return nil, &FileError{Action: "remove", Path: probeFile, Cause: err}
	}
	if err := s.discardTail(); err != nil {
		return nil, err
	}
	*s = Storer{Folder: s.Folder, Opener: s.Opener, Observer: s.Observer}
	return s.Open()
}

// discardTail cuts the current segment to the bytes that are durable.
func (s *Storer) discardTail() error {
	if s.segment == nil {
		return nil
	}
	_ = s.segment.Close() // it may be closed, and what was not synced is removed
	err := s.truncateFile(s.segment.Name(), s.segmentSize)
	if errors.Is(err, fs.ErrNotExist) {
		return nil // rotate has removed it
	}
	return err
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
	return s.checkContinuity(out)
}

// checkContinuity refuses a log that does not continue its snapshot, because entries between them would be missing. It
// drops a log that the snapshot replaced.
func (s *Storer) checkContinuity(out *Recovered) error {
	if len(out.Entries) == 0 {
		return nil
	}
	if out.Entries[0].GetTerm() < out.Snapshot.GetTerm() {
		// The replica crashed after it stored a snapshot from a leader and before it dropped the log that the
		// snapshot replaces. If the old entries were kept, the last one would hide the snapshot's term, and this
		// replica could vote for a candidate that lacks the content of the snapshot.
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
			return s.recoverTail(path, data, offset, newest, err)
		}
		if err := s.replayRecord(serial, record, out); err != nil {
			return &DamageError{Path: path, Offset: int64(offset), Reason: err.Error()}
		}
		offset += size
	}
	return nil
}

// recoverTail truncates a segment at an invalid record if a crash interrupted its write, so that it was never
// acknowledged. Otherwise, acknowledged records are damaged: dropping them would undo an accepted change, so the
// replica refuses to start.
func (s *Storer) recoverTail(path string, data []byte, offset int, newest bool, cause error) error {
	if !newest || validRecordAfter(data[offset:]) {
		return &DamageError{Path: path, Offset: int64(offset), Reason: cause.Error()}
	}
	return s.truncateFile(path, int64(offset))
}

// truncateFile truncates a file and syncs it. Without the sync, the removed tail could reappear after a power failure,
// when newer segments follow, and look like damage to acknowledged records.
func (s *Storer) truncateFile(path string, size int64) error {
	file, err := s.open(path, os.O_WRONLY)
	if err != nil {
		return &FileError{Action: "open", Path: path, Cause: err}
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(size); err != nil {
		return &FileError{Action: "truncate", Path: path, Cause: err}
	}
	if err := s.sync(file); err != nil {
		return &FileError{Action: "sync", Path: path, Cause: err}
	}
	return nil
}

func (s *Storer) replayRecord(serial uint64, r record, out *Recovered) error {
	parts, err := splitBatch(r)
	if err != nil {
		return err
	}
	for _, part := range parts {
		if err := s.replayPart(serial, part, out); err != nil {
			return err
		}
	}
	return nil
}

func (s *Storer) replayPart(serial uint64, r record, out *Recovered) error {
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
		s.lastIndexes[serial] = max(s.lastIndexes[serial], e.GetIndex())
		out.Entries = appendEntry(out.Entries, e, out.Snapshot.GetIndex())
	case recordReset:
		out.Entries = nil
	case recordSnapshot, recordIdentity, recordBatch, recordHosts, recordLeave:
		return &formatError{"a record of another file"}
	}
	return nil
}

// appendEntry appends an entry to the log. If its index is already present, the existing entries from that index on are
// replaced. Entries up to base are covered by the snapshot and ignored.
func appendEntry(entries []*wire.Entry, e *wire.Entry, base uint64) []*wire.Entry {
	if e.GetIndex() <= base {
		return entries
	}
	for len(entries) > 0 && entries[len(entries)-1].GetIndex() >= e.GetIndex() {
		entries = entries[:len(entries)-1]
	}
	return append(entries, e)
}

// Package storer keeps a replica's identity, votes, log and snapshots under one data folder.
// Whatever Save returned for without an error survives a power cut.
package storer

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

const (
	identityFile   = "identity"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	segmentLimit   = 8 << 20
	folderMode     = 0o750
	fileMode       = 0o640
)

// Recovered is what a data folder held when it was opened.
type Recovered struct {
	Identity *wire.Identity
	Vote     *wire.Vote
	Snapshot *wire.Snapshot
	Entries  []*wire.Entry
}

// Storer writes to one data folder. Set Folder, then call Open.
type Storer struct {
	Folder string

	segment *os.File
	serial  uint64
	size    int64
	vote    *wire.Vote
	last    map[uint64]uint64
	failed  error
}

// Open reads the folder; an empty or absent folder gives an empty Recovered.
func (s *Storer) Open() (*Recovered, error) {
	if err := os.MkdirAll(s.Folder, folderMode); err != nil {
		return nil, &FileError{Action: "create", Path: s.Folder, Cause: err}
	}
	s.last = map[uint64]uint64{}
	out := &Recovered{Vote: &wire.Vote{}}
	identity, err := s.readIdentity()
	if err != nil {
		return nil, err
	}
	out.Identity = identity
	if out.Snapshot, err = s.readSnapshot(); err != nil {
		return nil, err
	}
	if err := s.readSegments(out); err != nil {
		return nil, err
	}
	s.vote = out.Vote
	return out, s.rotate()
}

func (s *Storer) readIdentity() (*wire.Identity, error) {
	path := filepath.Join(s.Folder, identityFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &FileError{Action: "read", Path: path, Cause: err}
	}
	identity := &wire.Identity{}
	payload, _, err := decodeRecord(data)
	if err != nil {
		return nil, &DamageError{Path: path, Offset: 0, Reason: err.Error()}
	}
	if err := proto.Unmarshal(payload.data, identity); err != nil {
		return nil, &DamageError{Path: path, Offset: 0, Reason: err.Error()}
	}
	return identity, nil
}

// SaveIdentity writes the identity durably.
func (s *Storer) SaveIdentity(i *wire.Identity) error {
	data, err := proto.Marshal(i)
	if err != nil {
		return &FileError{Action: "encode", Path: identityFile, Cause: err}
	}
	return s.replaceFile(identityFile, encodeRecord(recordIdentity, data))
}

func (s *Storer) readSnapshot() (*wire.Snapshot, error) {
	names, err := s.list(snapshotPrefix)
	if err != nil || len(names) == 0 {
		return nil, err
	}
	path := filepath.Join(s.Folder, names[len(names)-1])
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Action: "read", Path: path, Cause: err}
	}
	record, _, err := decodeRecord(data)
	if err != nil {
		return nil, &DamageError{Path: path, Offset: 0, Reason: err.Error()}
	}
	snapshot := &wire.Snapshot{}
	if err := proto.Unmarshal(record.data, snapshot); err != nil {
		return nil, &DamageError{Path: path, Offset: 0, Reason: err.Error()}
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
		if err := s.recall(serial, record, out); err != nil {
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
	case recordSnapshot, recordIdentity:
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

// Save makes a vote and entries durable with one write and one sync.
func (s *Storer) Save(vote *wire.Vote, entries []*wire.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	var buffer []byte
	if vote != nil {
		s.vote = vote
		buffer = appendMessage(buffer, recordVote, vote)
	}
	for _, e := range entries {
		buffer = appendMessage(buffer, recordEntry, e)
		s.last[s.serial] = max(s.last[s.serial], e.GetIndex())
	}
	if len(buffer) == 0 {
		return nil
	}
	if err := s.write(buffer); err != nil {
		return err
	}
	if s.size < segmentLimit {
		return nil
	}
	return s.rotate()
}

// write remembers a failure for good: after a failed sync the kernel may drop the pages and report
// success the next time, and an entry would be acknowledged that no disk holds.
func (s *Storer) write(buffer []byte) error {
	path := s.segment.Name()
	if _, err := s.segment.Write(buffer); err != nil {
		s.failed = &FileError{Action: "write", Path: path, Cause: err}
		return s.failed
	}
	if err := s.segment.Sync(); err != nil {
		s.failed = &FileError{Action: "sync", Path: path, Cause: err}
		return s.failed
	}
	s.size += int64(len(buffer))
	return nil
}

// SaveSnapshot makes a snapshot durable and drops the log that it covers. With reset, what the log
// holds after it is dropped too: that is the case when a leader sent the snapshot.
func (s *Storer) SaveSnapshot(snapshot *wire.Snapshot, reset bool) error {
	if s.failed != nil {
		return s.failed
	}
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return &FileError{Action: "encode", Path: snapshotPrefix, Cause: err}
	}
	name := snapshotPrefix + formatSerial(snapshot.GetIndex())
	if err := s.replaceFile(name, encodeRecord(recordSnapshot, data)); err != nil {
		s.failed = err
		return err
	}
	if reset {
		// The old log goes only after the snapshot is durable: a crash in between must leave one of them.
		if err := s.write(encodeRecord(recordReset, nil)); err != nil {
			return err
		}
	}
	if err := s.rotate(); err != nil {
		return err
	}
	return s.prune(name, snapshot.GetIndex())
}

// prune removes older snapshots, and segments that hold nothing after the snapshot.
func (s *Storer) prune(keep string, index uint64) error {
	names, err := s.list(snapshotPrefix)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name < keep {
			_ = os.Remove(filepath.Join(s.Folder, name))
		}
	}
	segments, err := s.list(segmentPrefix)
	if err != nil {
		return err
	}
	for _, name := range segments {
		serial := parseSerial(name, segmentPrefix)
		if serial == s.serial || s.last[serial] > index {
			// Segments go oldest first: a gap would make a later vote or entry unreadable.
			break
		}
		_ = os.Remove(filepath.Join(s.Folder, name))
		delete(s.last, serial)
	}
	return nil
}

// rotate starts a new segment that opens with the vote, so that older segments can be removed.
func (s *Storer) rotate() error {
	if s.segment != nil {
		if err := s.segment.Close(); err != nil {
			return &FileError{Action: "close", Path: s.segment.Name(), Cause: err}
		}
	}
	s.serial++
	path := filepath.Join(s.Folder, segmentPrefix+formatSerial(s.serial))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return &FileError{Action: "create", Path: path, Cause: err}
	}
	s.segment = file
	s.size = 0
	if err := s.write(appendMessage(nil, recordVote, s.vote)); err != nil {
		return err
	}
	return s.syncFolder()
}

// replaceFile writes a whole file so that a crash leaves the old or the new one, never a part.
func (s *Storer) replaceFile(name string, data []byte) error {
	path := filepath.Join(s.Folder, name)
	temporary := path + ".new"
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return &FileError{Action: "create", Path: temporary, Cause: err}
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return &FileError{Action: "write", Path: temporary, Cause: err}
	}
	if err := os.Rename(temporary, path); err != nil {
		return &FileError{Action: "rename", Path: path, Cause: err}
	}
	return s.syncFolder()
}

func (s *Storer) syncFolder() error {
	folder, err := os.Open(s.Folder)
	if err != nil {
		return &FileError{Action: "open", Path: s.Folder, Cause: err}
	}
	defer func() { _ = folder.Close() }()
	if err := folder.Sync(); err != nil {
		return &FileError{Action: "sync", Path: s.Folder, Cause: err}
	}
	return nil
}

func (s *Storer) list(prefix string) ([]string, error) {
	found, err := os.ReadDir(s.Folder)
	if err != nil {
		return nil, &FileError{Action: "list", Path: s.Folder, Cause: err}
	}
	var names []string
	for _, f := range found {
		name := f.Name()
		if strings.HasPrefix(name, prefix) && !strings.HasSuffix(name, ".new") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}

// Close ends writing.
func (s *Storer) Close() error {
	if s.segment == nil {
		return nil
	}
	return s.segment.Close()
}

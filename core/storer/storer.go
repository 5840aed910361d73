// Package storer stores a replica's identity, votes, log and snapshots in one data folder. Data survive a power failure
// once the call that saves them has returned without an error.
package storer

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

const (
	identityFile = "identity"
	probeFile    = "probe"
	// temporarySuffix marks files that are being written.
	temporarySuffix = ".new"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	// segmentLimit is the size in bytes at which a new segment is started.
	segmentLimit = 8 << 20
	folderMode   = 0o750
	fileMode     = 0o640
)

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	Name() string
	Sync() error
	Truncate(size int64) error
}

// Opener opens files for writing, with the arguments of os.OpenFile.
type Opener interface {
	OpenFile(path string, flag int, mode fs.FileMode) (File, error)
}

// Observer measures syncs.
type Observer interface {
	// Observe is called before a sync of a file or folder; what it returns is called after it.
	Observe(path string) (done func())
}

// Storer writes to one data folder. Set Folder, then call Open. It is not safe for concurrent use.
type Storer struct {
	Folder string
	// Opener opens the files to write. If it is nil, the operating system does.
	Opener Opener
	// Observer measures the syncs, unless it is nil.
	Observer Observer

	// segment is the file being written, serial its number, and segmentSize the bytes of it that are durable.
	segment     File
	serial      uint64
	segmentSize int64
	vote        *wire.Vote
	// lastIndexes holds the highest index of an entry in each segment, by serial.
	lastIndexes map[uint64]uint64
	// failure is the first failed write; nothing is written after it.
	failure error
}

// Open reads the folder, creating it if necessary, and starts a new segment. An empty or absent folder gives an empty
// Recovered. Damage to acknowledged records is reported as a DamageError.
func (s *Storer) Open() (*Recovered, error) {
	if err := os.MkdirAll(s.Folder, folderMode); err != nil {
		return nil, &FileError{Action: "create", Path: s.Folder, Cause: err}
	}
	if err := s.removeTemporary(); err != nil {
		return nil, err
	}
	s.lastIndexes = map[uint64]uint64{}
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

// SaveIdentity writes the identity durably.
func (s *Storer) SaveIdentity(i *wire.Identity) error {
	data, err := proto.Marshal(i)
	if err != nil {
		return &FileError{Action: "encode", Path: identityFile, Cause: err}
	}
	return s.replaceFile(identityFile, encodeRecord(recordIdentity, data))
}

// Save makes a vote and entries durable with one write and one sync. The vote may be nil. After a failed write, every
// further call returns the same error.
func (s *Storer) Save(vote *wire.Vote, entries []*wire.Entry) error {
	if s.failure != nil {
		return s.failure
	}
	var batch []byte
	if vote != nil {
		s.vote = vote
		batch = appendPart(batch, recordVote, vote)
	}
	for _, e := range entries {
		batch = appendPart(batch, recordEntry, e)
		s.lastIndexes[s.serial] = max(s.lastIndexes[s.serial], e.GetIndex())
	}
	if len(batch) == 0 {
		return nil
	}
	if err := s.write(encodeRecord(recordBatch, batch)); err != nil {
		return err
	}
	if s.segmentSize < segmentLimit {
		return nil
	}
	return s.rotate()
}

// write appends to the segment and syncs it. A failure is permanent: after a failed sync the kernel may drop the dirty
// pages and report success for the next sync, and an entry that is not on disk would be acknowledged.
func (s *Storer) write(buffer []byte) error {
	path := s.segment.Name()
	if _, err := s.segment.Write(buffer); err != nil {
		s.failure = &FileError{Action: "write", Path: path, Cause: err}
		return s.failure
	}
	if err := s.sync(s.segment); err != nil {
		s.failure = &FileError{Action: "sync", Path: path, Cause: err}
		return s.failure
	}
	s.segmentSize += int64(len(buffer))
	return nil
}

// SaveSnapshot makes a snapshot durable and removes the segments that it covers. With reset, later entries of the log
// are dropped as well, as is needed when a leader sent the snapshot.
func (s *Storer) SaveSnapshot(snapshot *wire.Snapshot, reset bool) error {
	if s.failure != nil {
		return s.failure
	}
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return &FileError{Action: "encode", Path: snapshotPrefix, Cause: err}
	}
	name := snapshotPrefix + formatSerial(snapshot.GetIndex())
	if err := s.replaceFile(name, encodeRecord(recordSnapshot, data)); err != nil {
		s.failure = err
		return err
	}
	if reset {
		// The old log is dropped only once the snapshot is durable, so that a crash in between leaves one of them.
		if err := s.write(encodeRecord(recordReset, nil)); err != nil {
			return err
		}
	}
	if err := s.rotate(); err != nil {
		return err
	}
	return s.prune(name, snapshot.GetIndex())
}

// prune removes the snapshots older than keep, and the segments without entries after the snapshot's index.
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
		if serial == s.serial || s.lastIndexes[serial] > index {
			// Segments are removed oldest first: a gap would make a later vote or entry unreadable.
			break
		}
		_ = os.Remove(filepath.Join(s.Folder, name))
		delete(s.lastIndexes, serial)
	}
	return nil
}

// rotate starts a new segment, which begins with the current vote so that older segments can be removed. If it fails, no
// new file is left.
func (s *Storer) rotate() error {
	if s.segment != nil {
		if err := s.segment.Close(); err != nil {
			return &FileError{Action: "close", Path: s.segment.Name(), Cause: err}
		}
	}
	s.serial++
	path := filepath.Join(s.Folder, segmentPrefix+formatSerial(s.serial))
	file, err := s.open(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return &FileError{Action: "create", Path: path, Cause: err}
	}
	s.segment = file
	s.segmentSize = 0
	err = s.write(appendMessage(nil, recordVote, s.vote))
	if err == nil {
		err = s.syncFolder()
	}
	if err != nil {
		return errors.Join(err, os.Remove(path))
	}
	return nil
}

// sync makes what was written to a file durable.
func (s *Storer) sync(f interface {
	Name() string
	Sync() error
},
) error {
	if s.Observer != nil {
		defer s.Observer.Observe(f.Name())()
	}
	return f.Sync()
}

// open opens a file for writing.
func (s *Storer) open(path string, flag int) (File, error) {
	if s.Opener != nil {
		return s.Opener.OpenFile(path, flag, fileMode)
	}
	return os.OpenFile(path, flag, fileMode)
}

// replaceFile replaces a file atomically and durably: after a crash, it has either its old or its new content, never a
// part.
func (s *Storer) replaceFile(name string, data []byte) error {
	path := filepath.Join(s.Folder, name)
	temporary := path + temporarySuffix
	file, err := s.open(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return &FileError{Action: "create", Path: temporary, Cause: err}
	}
	_, err = file.Write(data)
	if err == nil {
		err = s.sync(file)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		// A part of the file would take up the space that is missing.
		return errors.Join(&FileError{Action: "write", Path: temporary, Cause: err}, os.Remove(temporary))
	}
	if err := os.Rename(temporary, path); err != nil {
		return &FileError{Action: "rename", Path: path, Cause: err}
	}
	return s.syncFolder()
}

// removeTemporary removes the files that a crash has left half written. Each snapshot has a name of its own, so that a
// controller which is killed again and again while it writes one would fill its disk.
func (s *Storer) removeTemporary() error {
	left, err := filepath.Glob(filepath.Join(s.Folder, "*"+temporarySuffix))
	if err != nil {
		return &FileError{Action: "list", Path: s.Folder, Cause: err}
	}
	for _, path := range left {
		if err := os.Remove(path); err != nil {
			return &FileError{Action: "remove", Path: path, Cause: err}
		}
	}
	return nil
}

func (s *Storer) syncFolder() error {
	folder, err := os.Open(s.Folder)
	if err != nil {
		return &FileError{Action: "open", Path: s.Folder, Cause: err}
	}
	defer func() { _ = folder.Close() }()
	if err := s.sync(folder); err != nil {
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
		if strings.HasPrefix(name, prefix) && !strings.HasSuffix(name, temporarySuffix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}

// Close closes the current segment, unless it is closed because a new one could not be started.
func (s *Storer) Close() error {
	if s.segment == nil {
		return nil
	}
	if err := s.segment.Close(); !errors.Is(err, fs.ErrClosed) {
		return err
	}
	return nil
}

package storer

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"chervilrail.example/core/wire"

	"google.golang.org/protobuf/proto"
)

const (
	leavesFile = "leaves"
	// maxLeavesSize is the size in bytes from which the file is written anew with the newest leaves.
	maxLeavesSize = 1 << 20
)

// LeaveStore stores the records of targets that leave in a file of its own, to which it appends: a leave is binding for
// all entry instances once it is acknowledged, also if all controllers are killed at that moment. It is not safe for
// concurrent use.
type LeaveStore struct {
	Folder string
	// Observer measures the syncs, unless it is nil.
	Observer Observer

	file *os.File
	size int64
	// written are the encoded records in the file, oldest first.
	written [][]byte
}

// Load opens the file and returns its records, oldest first. A record that was torn by a crash and all after it were
// never acknowledged, and are dropped.
func (l *LeaveStore) Load() ([]*wire.Record, error) {
	data, err := os.ReadFile(l.path())
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, &FileError{Action: "read", Path: l.path(), Cause: err}
	}
	var out []*wire.Record
	for len(data) > 0 {
		r, size, err := decodeRecord(data)
		if err != nil || r.kind != recordLeave {
			break
		}
		leave := &wire.Record{}
		if proto.Unmarshal(r.data, leave) != nil {
			break
		}
		out = append(out, leave)
		l.written = append(l.written, data[:size:size])
		data = data[size:]
	}
	return out, l.rewrite()
}

// Append adds records durably. After an error the next call writes the whole file anew.
func (l *LeaveStore) Append(records []*wire.Record) error {
	var added []byte
	for _, r := range records {
		encoded := appendMessage(nil, recordLeave, r)
		added = append(added, encoded...)
		l.written = append(l.written, encoded)
	}
	if l.file == nil || l.size+int64(len(added)) > maxLeavesSize {
		return l.rewrite()
	}
	_, err := l.file.Write(added)
	if err == nil {
		err = l.files().sync(l.file)
	}
	if err != nil {
		l.close()
		return &FileError{Action: "append", Path: l.path(), Cause: err}
	}
	l.size += int64(len(added))
	return nil
}

// rewrite replaces the file by one with the newest records, at most half of maxLeavesSize, and opens it.
func (l *LeaveStore) rewrite() error {
	l.close()
	first, size := len(l.written), 0
	for first > 0 && size+len(l.written[first-1]) <= maxLeavesSize/2 {
		first--
		size += len(l.written[first])
	}
	l.written = append([][]byte{}, l.written[first:]...)
	data := make([]byte, 0, size)
	for _, encoded := range l.written {
		data = append(data, encoded...)
	}
	if err := l.files().replaceFile(leavesFile, data); err != nil {
		return err
	}
	file, err := os.OpenFile(l.path(), os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return &FileError{Action: "open", Path: l.path(), Cause: err}
	}
	l.file, l.size = file, int64(size)
	return nil
}

func (l *LeaveStore) close() {
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

func (l *LeaveStore) files() *Storer { return &Storer{Folder: l.Folder, Observer: l.Observer} }

func (l *LeaveStore) path() string { return filepath.Join(l.Folder, leavesFile) }

package storer

import (
	"errors"
	"fmt"
	"syscall"
)

// DamageError reports that records which were synced to disk can't be read or are missing. Offset is in bytes.
type DamageError struct {
	Path   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("read %s: damaged at offset %d: %s; move the data folder away to rejoin as a new replica",
		e.Path, e.Offset, e.Reason)
}

// FileError reports a file operation that failed.
type FileError struct {
	Action string
	Path   string
	Cause  error
}

// Error implements error.
func (e *FileError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Action, e.Path, e.Cause)
}

// Unwrap returns the error of the operating system or of the protobuf codec.
func (e *FileError) Unwrap() error { return e.Cause }

// Refused reports whether an error comes from a disk that is full or faulty, as opposed to a folder that can't be used.
func Refused(err error) bool {
	for _, cause := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

type formatError struct {
	reason string
}

func (e *formatError) Error() string { return e.reason }

package storer

import "fmt"

// DamageError names the place where stored records can't be read although they were once synced.
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

// FileError says which file operation failed on which path.
type FileError struct {
	Action string
	Path   string
	Cause  error
}

// Error implements error.
func (e *FileError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Action, e.Path, e.Cause)
}

// Unwrap returns the operating system's error.
func (e *FileError) Unwrap() error { return e.Cause }

type formatError struct {
	reason string
}

func (e *formatError) Error() string { return e.reason }

package quoter

import "fmt"

// SequenceError says that a request is older than one already answered.
type SequenceError struct {
	Holder    string
	Got, Last uint64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("parts of quotas of %s: request %d comes after %d", e.Holder, e.Got, e.Last)
}

// UnlistedError says that an entry instance has to be listed as a holder before it gets any part.
type UnlistedError struct{ Holder string }

// Error implements error.
func (e *UnlistedError) Error() string {
	return "parts of quotas: " + e.Holder + " is not listed as a holder yet"
}

// SuspendedError says that the allotting process stood still, and may have been replaced meanwhile.
type SuspendedError struct{}

// Error implements error.
func (*SuspendedError) Error() string {
	return "parts of quotas: this controller was suspended a moment ago"
}

package quoter

import "fmt"

// SequenceError reports a request that is older than one already answered.
type SequenceError struct {
	Holder    string
	Got, Last uint64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("parts of quotas of %s: request %d comes after %d", e.Holder, e.Got, e.Last)
}

// UnlistedError reports an entry instance that requests parts before it is listed as a holder.
type UnlistedError struct{ Holder string }

// Error implements error.
func (e *UnlistedError) Error() string {
	return "parts of quotas: " + e.Holder + " is not listed as a holder yet"
}

// SuspendedError reports that the allotting process was suspended and may have been replaced as leader meanwhile.
type SuspendedError struct{}

// Error implements error.
func (*SuspendedError) Error() string {
	return "parts of quotas: this controller was suspended a moment ago"
}

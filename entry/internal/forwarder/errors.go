package forwarder

import "fmt"

// IncompleteStopError says that a stop ran out of time with requests still in progress.
type IncompleteStopError struct {
	Running int64
}

// Error implements error.
func (e *IncompleteStopError) Error() string {
	return fmt.Sprintf("stop forwarding: %d requests were still in progress", e.Running)
}

// StoppingError says that new requests are refused.
type StoppingError struct{}

// Error implements error.
func (e *StoppingError) Error() string { return "new requests are refused before a stop" }

// PaceError says that a link's share stayed empty for too long.
type PaceError struct {
	Resource string
}

// Error implements error.
func (e *PaceError) Error() string { return "no share of " + e.Resource + " for too long" }

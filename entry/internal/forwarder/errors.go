package forwarder

import "fmt"

// StopTimeoutError reports that requests were still in progress when the time to stop ran out.
type StopTimeoutError struct {
	Running int64
}

// Error implements error.
func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("stop forwarding: %d requests were still in progress", e.Running)
}

// StoppingError reports that new requests are refused because the instance is stopping.
type StoppingError struct{}

// Error implements error.
func (e *StoppingError) Error() string { return "new requests are refused before a stop" }

// PaceError reports that the share of a link's bandwidth stayed used up for stallTimeout.
type PaceError struct {
	Resource string
}

// Error implements error.
func (e *PaceError) Error() string { return "no share of " + e.Resource + " for too long" }

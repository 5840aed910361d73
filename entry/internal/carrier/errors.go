package carrier

import "fmt"

// StopTimeoutError reports that requests were still in progress when the time to stop was over.
type StopTimeoutError struct{ Running int64 }

// Error implements error.
func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("%d requests were still in progress", e.Running)
}

// StoppingError reports that this instance is stopping.
type StoppingError struct{}

// Error implements error.
func (*StoppingError) Error() string { return "this instance is stopping" }

package keeper

import "fmt"

// StateError says that a snapshot could not be written or read.
type StateError struct {
	Action string
	Cause  error
}

// Error implements error.
func (e *StateError) Error() string { return fmt.Sprintf("%s state: %v", e.Action, e.Cause) }

// Unwrap returns the codec's error.
func (e *StateError) Unwrap() error { return e.Cause }

package keeper

import "fmt"

// StateError reports that a snapshot could not be encoded or decoded.
type StateError struct {
	Action string
	Cause  error
}

// Error implements error.
func (e *StateError) Error() string { return fmt.Sprintf("%s state: %v", e.Action, e.Cause) }

// Unwrap returns the error of the protobuf codec.
func (e *StateError) Unwrap() error { return e.Cause }

package client

import "fmt"

// UnreachableError reports that no leading controller answered in time; Cause is the last error.
type UnreachableError struct {
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no leading controller answered: %v", e.Cause)
}

// Unwrap returns the last error.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// FollowerError reports that a controller is not the leader.
type FollowerError struct{}

// Error implements error.
func (e *FollowerError) Error() string { return "this controller does not lead" }

// TokenError reports that the file with the operator token could not be read.
type TokenError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *TokenError) Error() string { return fmt.Sprintf("read token %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *TokenError) Unwrap() error { return e.Cause }

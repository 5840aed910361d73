package client

import "fmt"

// UnreachableError says that no leading controller answered in time.
type UnreachableError struct {
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no leading controller answered: %v", e.Cause)
}

// Unwrap returns the last failure.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// FollowerError says that a controller does not lead.
type FollowerError struct{}

// Error implements error.
func (e *FollowerError) Error() string { return "this controller does not lead" }

// TokenError says that the operator token could not be read.
type TokenError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *TokenError) Error() string { return fmt.Sprintf("read token %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *TokenError) Unwrap() error { return e.Cause }

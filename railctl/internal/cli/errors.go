package cli

import (
	"fmt"
	"strings"
)

// ConflictError reports that a change was refused. Winner is the ID of the change in force with Number.
type ConflictError struct {
	Number uint64
	Winner string
	Reason string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change refused (%s): number %d by change %s is in force", e.Reason, e.Number, e.Winner)
}

// NotInForceError lists the entry instances that have not confirmed a change in time. Instances is empty if a new
// leader does not yet know the state of all instances.
type NotInForceError struct {
	Number    uint64
	Instances []string
}

// Error implements error.
func (e *NotInForceError) Error() string {
	if len(e.Instances) == 0 {
		return fmt.Sprintf("number %d: a new leader can't tell yet that every instance confirmed it", e.Number)
	}
	return fmt.Sprintf("number %d is not confirmed by %s", e.Number, strings.Join(e.Instances, ", "))
}

// InputError reports an invalid argument.
type InputError struct {
	Field    string
	Expected string
	Got      string
}

// Error implements error.
func (e *InputError) Error() string {
	return fmt.Sprintf("%s: expected %s, got %q", e.Field, e.Expected, e.Got)
}

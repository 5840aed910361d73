package planner

import "fmt"

// PlanError says which item of a routing plan is wrong, and why.
type PlanError struct {
	// Item is the name of the route, service or organisation, empty for the plan itself.
	Item string
	// Field is the field at fault.
	Field string
	// Expected says what would have been accepted.
	Expected string
}

// Error implements error.
func (e *PlanError) Error() string {
	if e.Item == "" {
		return fmt.Sprintf("plan: %s: expected %s", e.Field, e.Expected)
	}
	return fmt.Sprintf("plan: %s: %s: expected %s", e.Item, e.Field, e.Expected)
}

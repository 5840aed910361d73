package planner

import "fmt"

// PlanError reports an invalid item of a routing plan.
type PlanError struct {
	// Item is the name of the route, service or organisation. It is empty for the plan itself and for items without a
	// name.
	Item string
	// Field is the invalid field.
	Field string
	// Expected describes what would have been accepted.
	Expected string
}

// Error implements error.
func (e *PlanError) Error() string {
	if e.Item == "" {
		return fmt.Sprintf("plan: %s: expected %s", e.Field, e.Expected)
	}
	return fmt.Sprintf("plan: %s: %s: expected %s", e.Item, e.Field, e.Expected)
}

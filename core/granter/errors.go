package granter

import "fmt"

// SequenceError reports a renewal that arrived after a later one of the same holder.
type SequenceError struct {
	Holder string
	Got    uint64
	Last   uint64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("renew grants of %s: request %d came after request %d", e.Holder, e.Got, e.Last)
}

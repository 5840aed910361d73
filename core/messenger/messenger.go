// Package messenger holds what the system reads from and writes to the messages of callers and targets, apart from
// how it is spelled on the wire.
package messenger

import (
	"fmt"
	"net/http"
	"time"
)

// Call is what a caller's request says of itself.
type Call struct {
	// ID identifies this one attempt of the caller.
	ID string
	// Deadline is until when the caller waits; zero if it did not say.
	Deadline time.Time
	// Key groups requests that concern one object; empty for none.
	Key string
	// Secret shows whose request it is; empty for none. It goes to no target and into no log.
	Secret string
}

// Destination is whom a request is passed on to.
type Destination struct {
	// Target is the one that may run it.
	Target string
	// Organisation is the caller's, empty if it is not known.
	Organisation string
	// Deadline is until when the target may work on it.
	Deadline time.Time
}

// Load is a target's own report of its work.
type Load struct {
	Running int32
	Waiting int32
	Slots   int32
}

// PerSlot is the load beside the request that the report came with, in requests per slot; false if there is no report of
// use.
func (l *Load) PerSlot() (float64, bool) {
	if l == nil || l.Slots <= 0 {
		return 0, false
	}
	return float64(max(0, l.Running+l.Waiting-1)) / float64(l.Slots), true
}

// String writes the load for logs.
func (l *Load) String() string {
	if l == nil {
		return ""
	}
	return fmt.Sprintf("%d+%d/%d", l.Running, l.Waiting, l.Slots)
}

// Reply is what a target's answer says of itself.
type Reply struct {
	// ID is the call that the answer belongs to.
	ID string
	// Signed is set where the answer bears the target's signature.
	Signed bool
	// Unrun is the target's word that it did not run the request.
	Unrun bool
	// Load is nil where the answer does not report it.
	Load *Load
}

// Codec spells calls and replies on one interface.
type Codec interface {
	// Call reads a caller's request.
	Call(r *http.Request, now time.Time) (Call, error)
	// SetTargetHeaders writes into a request's header whom it is for, and takes out what the target must not see.
	SetTargetHeaders(h http.Header, to Destination, now time.Time)
	// Reply reads the head of a target's answer.
	Reply(status int, h http.Header) Reply
}

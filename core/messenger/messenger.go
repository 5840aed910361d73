// Package messenger defines the information that the system reads from and writes to the messages of callers and
// targets, independent of their format on the wire.
package messenger

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Call is the routing information in a caller's request.
type Call struct {
	// ID identifies this attempt of the caller.
	ID string
	// Deadline is until when the caller waits; zero if the request sets none.
	Deadline time.Time
	// Key groups requests that concern one object; empty for none.
	Key string
	// Secret authenticates the caller's organisation; empty for none. It must not be forwarded to targets or logged.
	Secret string
}

// Destination is the target that a request is forwarded to, with the information it gets about the caller.
type Destination struct {
	// Target is the name of the only target that may run the request.
	Target string
	// Organisation is the caller's organisation, empty if it is not known.
	Organisation string
	// Deadline is until when the target may work on the request.
	Deadline time.Time
}

// Load is a target's report of its own load: running and waiting requests, and slots.
type Load struct {
	Running int32
	Waiting int32
	Slots   int32
}

// PerSlot returns the load without the request that the report came with, in requests per slot. The second result is
// false if there is no report or the report has no slots.
func (l *Load) PerSlot() (float64, bool) {
	if l == nil || l.Slots <= 0 {
		return 0, false
	}
	return float64(max(0, l.Running+l.Waiting-1)) / float64(l.Slots), true
}

// Limit is how many requests a target takes from all entry instances together, as long as its answers say so.
type Limit struct{ PerSecond float64 }

// String formats the limit for logs.
func (l *Limit) String() string {
	if l == nil {
		return ""
	}
	return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
}

// String formats the load for logs as running+waiting/slots.
func (l *Load) String() string {
	if l == nil {
		return ""
	}
	return fmt.Sprintf("%d+%d/%d", l.Running, l.Waiting, l.Slots)
}

// Reply is the information about a request in a target's response.
type Reply struct {
	// ID is the ID of the call that the response belongs to.
	ID string
	// Signed is set if the response has the target's signature.
	Signed bool
	// Unrun is set if the target reports that it did not run the request.
	Unrun bool
	// Load is the target's load; nil if the response does not report it.
	Load *Load
	// Limit is the target's limit; nil if the response names none.
	Limit *Limit
	// RetryAt is until when the target wants no requests from this instance; zero if the response does not say so.
	RetryAt time.Time
	// Leaving is set if the target reports that it leaves.
	Leaving bool
	// Malformed are the names of headers with values that could not be read, Unread those of headers that look like
	// statements of a target about itself and that nothing reads.
	Malformed []string
	Unread    []string
}

// Codec reads and writes calls and replies in the format of one interface.
type Codec interface {
	// Call reads the routing information from a caller's request; now is the time from which relative deadlines count.
	Call(r *http.Request, now time.Time) (Call, error)
	// SetTargetHeaders writes the destination into a request's header and removes what the target must not receive.
	SetTargetHeaders(h http.Header, to Destination, now time.Time)
	// Reply reads the status and header of a target's response; now is the time from which relative deadlines count.
	Reply(status int, h http.Header, now time.Time) Reply
}

package pooler

import (
	"net/netip"
	"strconv"
	"time"

	"chervilrail.example/core/prober"
)

// pendingRequest is a request at a target or on its way there.
type pendingRequest struct {
	bytes   int
	started time.Time
}

func (p *Pooler) addPending(c *conn, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending == nil {
		p.pending = map[*conn]pendingRequest{}
	}
	p.pending[c] = pendingRequest{bytes: bytes, started: time.Now()}
}

func (p *Pooler) removePending(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, c)
}

// CancelUndelivered gives up the requests that were sent to a target before a time and of which its machine has acknowledged
// nothing, and returns how many. Their attempts end as broken.
func (p *Pooler) CancelUndelivered(address netip.AddrPort, before time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for c, f := range p.pending {
		if c.address != address || !f.started.Before(before) {
			continue
		}
		if unacknowledged, ok := prober.Unacknowledged(c.Conn); ok && unacknowledged >= f.bytes {
			_ = c.SetDeadline(time.Unix(1, 0))
			count++
		}
	}
	return count
}

// UndeliveredError says that a request was given up before the target's machine had all of it.
type UndeliveredError struct {
	Address netip.AddrPort
	// Bytes is how much was written and not acknowledged.
	Bytes int
	// Err is how the attempt ended.
	Err error
}

// Error implements error.
func (e *UndeliveredError) Error() string {
	return strconv.Itoa(e.Bytes) + " bytes on the way to " + e.Address.String() + ": " + e.Err.Error()
}

// Unwrap returns how the attempt ended.
func (e *UndeliveredError) Unwrap() error { return e.Err }

// wrapUndelivered tells of bytes that the target's machine has not acknowledged at the end of a failed attempt.
func (c *conn) wrapUndelivered(err error) error {
	bytes, ok := prober.Unacknowledged(c.Conn)
	if !ok || bytes == 0 {
		return err
	}
	return &UndeliveredError{Address: c.address, Bytes: bytes, Err: err}
}

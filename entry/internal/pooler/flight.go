package pooler

import (
	"net/netip"
	"strconv"
	"time"

	"chervilrail.example/core/prober"
)

// pendingRequest is a request in flight: bytes is its size, started when its sending began.
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

// CancelUndelivered cancels the requests that were sent to a target before a time and of which the target's TCP stack
// has acknowledged nothing, and returns their number. Their attempts end as Broken.
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

// UndeliveredError reports that an attempt ended before the target's TCP stack had acknowledged the whole request.
type UndeliveredError struct {
	Address netip.AddrPort
	// Bytes is the number of bytes that were written and not acknowledged.
	Bytes int
	// Err is the error with which the attempt ended.
	Err error
}

// Error implements error.
func (e *UndeliveredError) Error() string {
	return strconv.Itoa(e.Bytes) + " bytes not delivered to " + e.Address.String() + ": " + e.Err.Error()
}

// Unwrap returns the error with which the attempt ended.
func (e *UndeliveredError) Unwrap() error { return e.Err }

// wrapUndelivered returns the error of a failed attempt, wrapped in an UndeliveredError if the target's TCP stack has
// not acknowledged all bytes.
func (c *conn) wrapUndelivered(err error) error {
	bytes, ok := prober.Unacknowledged(c.Conn)
	if !ok || bytes == 0 {
		return err
	}
	return &UndeliveredError{Address: c.address, Bytes: bytes, Err: err}
}

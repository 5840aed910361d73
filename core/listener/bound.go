package listener

import (
	"net"
	"sync/atomic"
)

// Bound limits the connections of some listeners together. Further ones are reset at once: their callers try another
// instance, where a full table of descriptors would keep out the callers of all other listeners, too. Set Max before
// use.
type Bound struct {
	Max int

	open    atomic.Int64
	refused atomic.Int64
}

// Refused returns how many connections were refused.
func (b *Bound) Refused() int64 { return b.refused.Load() }

// boundedListener accepts connections within a bound. The server's hook of connection states counts those that end.
type boundedListener struct {
	net.Listener
	bound *Bound
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.bound.open.Load() < int64(l.bound.Max) {
			l.bound.open.Add(1)
			return c, nil
		}
		l.bound.refused.Add(1)
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

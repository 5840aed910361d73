package closer

import (
	"net"
	"sync"
	"sync/atomic"

	"chervilrail.example/core/prober"
)

// Conn is an accepted connection. Its Close reports what was unread and undelivered.
type Conn struct {
	*net.TCPConn

	closer  *Closer
	service string
	// ended is set once the other end has closed or reset the connection.
	ended atomic.Bool
	once  sync.Once
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err != nil && !isTimeout(err) {
		c.ended.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() { c.closer.record(c.state()) })
	return c.TCPConn.Close()
}

// state returns what is unread and undelivered at this moment.
func (c *Conn) state() closing {
	out := closing{service: c.service, remote: c.RemoteAddr(), ended: c.ended.Load()}
	out.unread, _ = prober.Unread(c.TCPConn)
	out.undelivered, _ = prober.Unacknowledged(c.TCPConn)
	return out
}

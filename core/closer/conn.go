package closer

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chervilrail.example/core/prober"
)

// Conn is an accepted connection whose Close discards nothing that was written: it ends this side only, reads on until
// the other end closes or the time for it has passed, and closes the socket then. A socket that is closed while bytes
// are unread, or arrive later, is reset, and what the other end has not received by then is lost.
type Conn struct {
	*net.TCPConn

	socket *Socket
	// written is set once anything was written.
	written atomic.Bool

	mu sync.Mutex
	// reading and serving are set while a Read, and a handler of an HTTP/1 request, are in progress; idle is set while the
	// server waits for the first bytes of a request.
	reading bool
	serving bool
	idle    bool
	// ended is set once the other end has closed or reset the connection.
	ended  bool
	closed bool
	// readEnds is closed by the Read that was in progress when the connection was closed.
	readEnds chan struct{}
	// opening holds the first bytes that were read, up to the length of http2Opening.
	opening []byte
}

// http2Opening is what a connection of HTTP/2 without TLS begins with.
const http2Opening = "PRI "

// Read implements net.Conn. After Close it returns net.ErrClosed: nothing that arrives then is read as a request.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.reading = true
	c.mu.Unlock()
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if err != nil && !isTimeout(err) {
		c.ended = true
	}
	if c.closed {
		close(c.readEnds)
		return 0, net.ErrClosed
	}
	if missing := len(http2Opening) - len(c.opening); missing > 0 {
		c.opening = append(c.opening, b[:min(n, missing)]...)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.written.Store(true)
	return c.TCPConn.Write(b)
}

// SetDeadline implements net.Conn. It has no effect after Close.
func (c *Conn) SetDeadline(t time.Time) error { return c.setDeadline(c.TCPConn.SetDeadline, t) }

// SetReadDeadline implements net.Conn. It has no effect after Close.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.setDeadline(c.TCPConn.SetReadDeadline, t) }

func (c *Conn) setDeadline(set func(time.Time) error, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	return set(t)
}

// SetIdle tells whether the server waits for the first bytes of a request.
func (c *Conn) SetIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

// BeginRequest reports whether an HTTP/1 request that was read from the connection may be handled: after Close its answer
// couldn't be sent. Until EndRequest, Close has no effect.
func (c *Conn) BeginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = !c.closed
	return c.serving
}

// EndRequest ends what BeginRequest began.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
}

// Close implements net.Conn. It returns at once. It has no effect while an HTTP/1 request is handled, or waits to be read
// on an idle connection: a server that stops answers it and closes the connection again.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.busy() {
		return nil
	}
	c.closed = true
	c.readEnds = make(chan struct{})
	closing := c.state()
	_ = c.CloseWrite() // fails if the other end has reset the connection, which drain notices
	if c.ended || !c.written.Load() || c.socket.cutting.Load() {
		prober.Discard(c.TCPConn)
		return c.socket.closeNow(c, closing)
	}
	if c.reading {
		_ = c.TCPConn.SetReadDeadline(closing.begun)
	} else {
		close(c.readEnds)
	}
	c.socket.closeLater(c, closing)
	return nil
}

// busy reports whether a server that closes the connection because it stops would cut off a request.
func (c *Conn) busy() bool {
	if c.socket.Encrypted || string(c.opening) == http2Opening || c.socket.cutting.Load() {
		return false
	}
	if c.serving {
		return true
	}
	waiting, _ := prober.Unread(c.TCPConn)
	return c.idle && c.reading && waiting > 0
}

// state returns what is unread and undelivered at this moment.
func (c *Conn) state() closing {
	out := closing{service: c.socket.Service, remote: c.RemoteAddr(), begun: time.Now(), end: unused}
	switch {
	case c.ended:
		out.end = remoteFirst
	case c.socket.cutting.Load():
		out.end = cut
	}
	out.unread, _ = prober.Unread(c.TCPConn)
	out.undelivered, _ = prober.Unacknowledged(c.TCPConn)
	return out
}

// drain reads and discards until the other end closes, or until the deadline, and returns which of them it was.
func (c *Conn) drain(deadline time.Time) end {
	<-c.readEnds
	_ = c.TCPConn.SetReadDeadline(deadline)
	var buffer [drainBuffer]byte
	for {
		_, err := c.TCPConn.Read(buffer[:])
		switch {
		case errors.Is(err, io.EOF):
			return remoteAfter
		case err != nil && isTimeout(err):
			return timedOut
		case err != nil:
			return reset
		}
	}
}

package closer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chervilrail.example/core/prober"
)

// Conn is an accepted connection whose Close discards nothing that was written: it ends this side only, and closes the socket
// once the other end has closed or the time for it has passed. A socket that is closed while bytes are unread, or arrive
// later, is reset, and what the other end has not received by then is lost.
//
// It also knows which requests have arrived on it, so that a process that leaves answers those and no others.
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
	// used is set once the server has read a request.
	used bool
	// quiet is set if the connection was idle when endQuiet was called last.
	quiet bool
	// quietAt is when a head that has begun to arrive counts as incomplete, and handed is set once the server has got a whole
	// head. The server takes the connection for idle until it has read that.
	quietAt time.Time
	handed  bool
	// ended is set once the other end has closed or reset the connection.
	ended  bool
	closed bool
	// readEnds is closed by the Read that was in progress when the connection was closed.
	readEnds chan struct{}
	// opening holds the first bytes that were read, up to the length of http2Opening.
	opening []byte
	// skippable is set once a request was handled and its whole body was read: what follows it is further requests.
	skippable bool
	arrivals
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
	if len(c.ahead) > 0 {
		defer c.mu.Unlock()
		n, headEnds := c.take(b)
		c.noteHead(headEnds)
		return n, nil
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
	headEnds := false
	if !c.multiplexed() {
		n, headEnds = c.split(b[:n])
	}
	if n > 0 {
		c.noteHead(headEnds)
	}
	return n, err
}

// noteHead records that the server gets a part of a head while it takes the connection for idle.
func (c *Conn) noteHead(ends bool) {
	switch {
	case !c.idle:
	case ends:
		c.handed = true
	case c.quietAt.IsZero() || c.socket.Encrypted:
		c.quietAt = time.Now().Add(headTime)
	}
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
	c.used = c.used || !idle
	c.skippable = c.skippable && idle
	c.quietAt, c.handed, c.quiet = time.Time{}, false, false
}

// BeginRequest reports whether an HTTP/1 request that was read from the connection may be handled: after Close its answer
// couldn't be sent. Until EndRequest, Close has no effect. Length is that of its body in bytes, below zero for one in chunks.
func (c *Conn) BeginRequest(length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.skippable = !c.closed, false
	c.body, c.chunked = max(0, length), length < 0
	return c.serving
}

// EndRequest ends what BeginRequest began.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	c.skippable = !c.chunked && c.body == 0
}

// Last reports whether the answer to the request that is handled has to be the last one on the connection, as the process
// leaves: no other request had begun to arrive when it began to leave, and none was read since.
func (c *Conn) Last() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving && (c.multiplexed() || !c.awaited())
}

// leave tells that the process leaves: requests that have begun to arrive are answered, later ones are not.
func (c *Conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return
	}
	waiting, _ := prober.Unread(c.TCPConn)
	c.leaving, c.due = true, c.received+int64(waiting)
	if !c.quietAt.IsZero() {
		c.quietAt = time.Now().Add(headTime)
	}
}

// Close implements net.Conn. It returns at once. It has no effect while an HTTP/1 request is handled, or waits to be read
// by a Read in progress: a server that stops answers it and closes the connection again.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.serves() {
		return nil
	}
	return c.close()
}

// closeIdle closes a connection that is idle, if nothing has arrived on it, and reports whether it is still in use.
func (c *Conn) closeIdle(unused bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return false
	case c.multiplexed() && c.used:
		return false // the server closes it
	case c.idle && (unused || len(c.opening) > 0 && !c.multiplexed()) && !c.arriving():
		_ = c.close() // the other end has gone if it fails
	}
	return !c.closed
}

// endQuiet ends this side of a connection of TLS or HTTP/2 that has been idle since the last call: what the server had to
// write has been written by then.
func (c *Conn) endQuiet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.idle || !c.used || !c.multiplexed() {
		return
	}
	if c.quiet {
		_ = c.CloseWrite() // fails if the other end has gone
	}
	c.quiet = true
}

// close closes the connection. The caller holds mu.
func (c *Conn) close() error {
	c.closed = true
	c.readEnds = make(chan struct{})
	closing := c.state()
	// A caller repeats a request that crosses the close of an idle connection only if it was not read.
	needless := c.ended || !c.written.Load() || c.idle && closing.undelivered == 0
	if needless {
		return c.socket.closeNow(c, closing)
	}
	_ = c.CloseWrite() // fails if the other end has reset the connection, which drain notices
	if c.reading {
		_ = c.TCPConn.SetReadDeadline(closing.begun)
	} else {
		close(c.readEnds)
	}
	c.socket.closeLater(c, closing)
	return nil
}

// serves reports whether a close by the server would cut off a request.
func (c *Conn) serves() bool {
	if c.multiplexed() || c.socket.cutting.Load() {
		return false
	}
	return c.serving || c.idle && c.reading && c.waiting()
}

// arriving reports whether a request has arrived on an idle connection, or is just arriving.
func (c *Conn) arriving() bool {
	if c.socket.cutting.Load() {
		return false
	}
	return c.serves() || c.handed || len(c.ahead) > 0 || c.leaving && c.awaited() || time.Now().Before(c.quietAt)
}

// waiting reports whether bytes have arrived and were not read.
func (c *Conn) waiting() bool {
	count, _ := prober.Unread(c.TCPConn)
	return count > 0
}

// multiplexed reports whether the connection is used by a layer that closes it on its own: TLS or HTTP/2.
func (c *Conn) multiplexed() bool { return c.socket.Encrypted || string(c.opening) == http2Opening }

// state returns what is unread and undelivered at this moment.
func (c *Conn) state() closing {
	out := closing{service: c.socket.Service, remote: c.RemoteAddr(), begun: time.Now(), skip: c.skippable, end: idle}
	if c.ended {
		out.end = remoteFirst
	}
	out.unread, _ = prober.Unread(c.TCPConn)
	out.unread += len(c.ahead)
	out.undelivered, _ = prober.Unacknowledged(c.TCPConn)
	return out
}

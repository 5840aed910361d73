package forwarder

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// earlyConn is a connection whose answer can be read although the request can't be written: a target may answer before it
// has read a whole body, and close the connection. The transport gives up a connection once a write fails, with the answer
// that has arrived.
type earlyConn struct {
	net.Conn
	// unsent is set while bytes are written, and stays set once that has failed.
	unsent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

func newEarlyConn(c net.Conn) *earlyConn { return &earlyConn{Conn: c, closed: make(chan struct{})} }

// Write implements net.Conn. If it fails, it returns once the connection is closed: what has arrived can still be read, and
// its end comes at once. The transport closes the connection then, with or without an answer, as the request is not
// written.
func (e *earlyConn) Write(b []byte) (int, error) {
	e.unsent.Store(true)
	n, err := e.Conn.Write(b)
	if err == nil {
		e.unsent.Store(false)
		return n, nil
	}
	<-e.closed
	return n, err
}

// Read implements net.Conn. While bytes are not sent, the end of the connection is an error: a failed write has taken the
// reset, and the end of an answer without a length would look orderly.
func (e *earlyConn) Read(b []byte) (int, error) {
	n, err := e.Conn.Read(b)
	if errors.Is(err, io.EOF) && e.unsent.Load() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// Close implements net.Conn.
func (e *earlyConn) Close() error {
	e.once.Do(func() { close(e.closed) })
	return e.Conn.Close()
}

// Package closer closes accepted connections, and reports what a close leaves unread and undelivered.
package closer

import (
	"errors"
	"net"
	"os"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Closer closes the connections of some listeners. Set the exported fields before use.
type Closer struct {
	Logger  log.Logger
	Metrics *Metrics
}

// closing is what is known of a connection at its close.
type closing struct {
	service string
	remote  net.Addr
	// ended is set if the other end closed first.
	ended bool
	// unread is how many bytes have arrived and were not read, undelivered how many were written and not acknowledged.
	unread      int
	undelivered int
}

// Listen returns a listener whose connections are of type *Conn. The service is named in logs and metrics.
func (c *Closer) Listen(socket net.Listener, service string) net.Listener {
	return &listener{Listener: socket, closer: c, service: service}
}

// record counts a close, and logs it if something was unread or undelivered.
func (c *Closer) record(e closing) {
	c.Metrics.record(e)
	if e.unread == 0 && e.undelivered == 0 {
		return
	}
	_ = level.Info(c.Logger).Log("msg", "connection closed", "service", e.service, "remote", e.remote, "ended", e.ended,
		"unread", e.unread, "undelivered", e.undelivered)
}

// listener accepts connections of type *Conn.
type listener struct {
	net.Listener
	closer  *Closer
	service string
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	socket, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	return &Conn{TCPConn: socket, closer: l.closer, service: l.service}, nil
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

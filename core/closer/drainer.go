package closer

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"chervilrail.example/core/prober"
)

const (
	// Timeout is how long the other end may take to close its side, or to receive more of what was written, and maxTime how
	// long it may take in all.
	Timeout = 2 * time.Second
	maxTime = 5 * Timeout
	// progressInterval is how often it is looked whether the other end has received more.
	progressInterval = Timeout / 8
	// maxDiscarded is how many bytes are read after the close of a connection: the largest body of a request.
	maxDiscarded = 16 << 20
	// drainBuffer and maxDrainBuffer are sizes in bytes. Most connections need the first one only, for their end.
	drainBuffer    = 512
	maxDrainBuffer = 32 << 10
)

// drainer waits until the other end of a connection closes.
type drainer struct {
	conn *net.TCPConn
	// skip is set if only further requests can arrive. They stay unread: callers may repeat what was not read.
	skip bool

	discarded int
}

// drain returns how it ended. It gives up after Timeout in which nothing more was delivered, after maxTime, and after
// maxDiscarded bytes.
func (d *drainer) drain(begun time.Time) end {
	left, _ := prober.Unacknowledged(d.conn)
	progressAt := begun
	for {
		_ = d.conn.SetReadDeadline(time.Now().Add(progressInterval))
		if reason := d.await(); reason != timedOut {
			return reason
		}
		now := time.Now()
		if undelivered, _ := prober.Unacknowledged(d.conn); undelivered < left {
			left, progressAt = undelivered, now
		}
		if now.Sub(progressAt) >= Timeout || now.Sub(begun) >= maxTime {
			return timedOut
		}
	}
}

// await waits until the other end closes, or until the read deadline.
func (d *drainer) await() end {
	if !d.skip {
		return d.discard()
	}
	err := prober.AwaitEnd(d.conn)
	switch {
	case err == nil:
		return remoteAfter
	case isTimeout(err):
		return timedOut
	case errors.Is(err, unix.ECONNRESET), errors.Is(err, net.ErrClosed):
		return reset
	}
	d.skip = false // the system does not tell
	return d.discard()
}

// discard reads until the other end closes, or until the read deadline.
func (d *drainer) discard() end {
	buffer := make([]byte, drainBuffer)
	for {
		n, err := d.conn.Read(buffer)
		d.discarded += n
		switch {
		case errors.Is(err, io.EOF):
			return remoteAfter
		case err != nil && isTimeout(err):
			return timedOut
		case err != nil:
			return reset
		case d.discarded > maxDiscarded:
			return excess
		}
		if n == len(buffer) && n < maxDrainBuffer {
			buffer = make([]byte, maxDrainBuffer)
		}
	}
}

// release leaves what is undelivered to the kernel when the socket is closed: with bytes unread, the kernel would discard it.
func (c *Conn) release() {
	if undelivered, _ := prober.Unacknowledged(c.TCPConn); undelivered > 0 {
		prober.Discard(c.TCPConn, maxDiscarded)
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Package resetter closes connections so that data of cancelled requests is not delivered later. After an orderly close
// the kernel continues to send what was written: if the network path was interrupted and works again seconds later, a
// cancelled request would still run.
package resetter

import (
	"context"
	"net"

	"chervilrail.example/core/prober"
)

// Reset closes a connection and discards the data that the other end has not acknowledged.
func Reset(c net.Conn) error {
	if socket, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
	return c.Close()
}

// Conn is a connection whose Close resets it if the other end has not acknowledged all data that was written.
type Conn struct {
	*net.TCPConn
}

// Close closes the connection. It resets the connection if data is not acknowledged, or if that can't be determined.
func (c *Conn) Close() error {
	if pending, ok := prober.Unacknowledged(c.TCPConn); ok && pending == 0 {
		return c.TCPConn.Close()
	}
	return Reset(c.TCPConn)
}

// Dialer opens connections of type *Conn, which do not deliver data after Close.
type Dialer struct {
	net.Dialer
}

// DialContext opens a connection. One that is not TCP is returned as it is.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if socket, ok := raw.(*net.TCPConn); ok {
		return &Conn{socket}, nil
	}
	return raw, nil
}

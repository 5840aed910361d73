// Package resetter ends connections so that nothing arrives that was given up. A close in order leaves what was written
// in the kernel, which goes on sending it: through a cut that ends seconds later, a request would still run.
package resetter

import (
	"context"
	"net"

	"chervilrail.example/core/prober"
)

// Reset closes a connection and drops what the other machine has not acknowledged.
func Reset(c net.Conn) error {
	if socket, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
	return c.Close()
}

// Conn is a connection that resets itself on Close if the other machine has not acknowledged all that was written.
type Conn struct {
	*net.TCPConn
}

// Close closes the connection; nothing that is on its way arrives later.
func (c *Conn) Close() error {
	if held, ok := prober.Unacknowledged(c.TCPConn); ok && held == 0 {
		return c.TCPConn.Close()
	}
	return Reset(c.TCPConn)
}

// Dialer opens connections that reset themselves on Close.
type Dialer struct {
	net.Dialer
}

// DialContext opens a TCP connection.
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

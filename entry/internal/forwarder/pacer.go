package forwarder

import (
	"net"
	"time"

	"chervilrail.example/core/granter"
)

const (
	// chunkSize is the number of bytes that are sent or received at once, after each check of the share.
	chunkSize = 16 << 10
	// paceInterval is the time between checks of a share that is used up.
	paceInterval = 5 * time.Millisecond
	// bulkReserve is the capacity, in chunks, that uploads leave free on a link for more urgent requests.
	bulkReserve = 4
)

// pacedConn keeps the traffic of a connection between regions within this instance's share of the link. A transfer that
// exceeds the share slows down; it does not fail.
type pacedConn struct {
	net.Conn
	holder *granter.Holder
	out    string
	in     string
	bulk   bool
}

func (c *pacedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+chunkSize)]
		if err := c.await(c.out, int64(len(part))); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Read takes the bytes from the share after they have arrived, because their number is not known before. The receive
// buffers of the operating system bound how far a sender can get ahead.
func (c *pacedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), chunkSize)])
	if n > 0 {
		if paceErr := c.await(c.in, int64(n)); paceErr != nil {
			return n, paceErr
		}
	}
	return n, err
}

// await blocks until the share allows n bytes. It fails only if the share stays used up for stallTimeout, which means
// that the instance has lost its lease.
func (c *pacedConn) await(resource string, n int64) error {
	deadline := time.Now().Add(stallTimeout)
	for {
		now := time.Now()
		c.holder.Demand(now, resource, n)
		if c.allowed(now, resource, n) && c.holder.Take(now, resource, n) {
			return nil
		}
		if now.After(deadline) {
			return &PaceError{Resource: resource}
		}
		time.Sleep(paceInterval)
	}
}

func (c *pacedConn) allowed(now time.Time, resource string, n int64) bool {
	return !c.bulk || c.holder.Available(now, resource) >= min(n+bulkReserve*chunkSize, c.holder.Limit(now, resource)/2)
}

package forwarder

import (
	"net"
	"time"

	"chervilrail.example/core/granter"
)

const (
	// chunkSize is how much is sent or received on one permission.
	chunkSize = 16 << 10
	// paceInterval is how soon permission is asked for again.
	paceInterval = 5 * time.Millisecond
	// bulkReserve is the room that uploads leave on a link, in chunks, for what is urgent.
	bulkReserve = 4
)

// pacedConn keeps a connection between regions within this instance's share of the link. A transfer that
// is past the share slows down; it does not fail.
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

// Read asks for permission after the bytes came: how many there are is not known before. The kernel's
// buffers bound what a sender can be ahead of that.
func (c *pacedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), chunkSize)])
	if n > 0 {
		if paceErr := c.await(c.in, int64(n)); paceErr != nil {
			return n, paceErr
		}
	}
	return n, err
}

// await blocks until the share allows n bytes. Only a share that stays empty for as long as any transfer
// may stall ends it: the instance has lost its lease then.
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
	return !c.bulk || c.holder.Room(now, resource) >= min(n+bulkReserve*chunkSize, c.holder.Limit(now, resource)/2)
}

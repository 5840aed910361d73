// Package closer closes accepted connections without discarding what was written to them.
package closer

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/kernel"
	"chervilrail.example/core/prober"
	"chervilrail.example/core/stopper"
)

const (
	// headTime is how long a planned stop waits for the rest of a request's head.
	headTime = 100 * time.Millisecond
	// maxDraining limits the connections that are drained at the same time while the process serves. They take
	// descriptors, and callers that never close would take them all.
	maxDraining = 1024
	// pollInterval is how often Stop looks whether all connections are closed.
	pollInterval = 5 * time.Millisecond
)

// Closer is the service that closes the connections of some listeners. It has to stop after them. Set the exported fields
// before use.
type Closer struct {
	Logger  log.Logger
	Metrics *Metrics

	mu sync.Mutex
	// draining are the connections of which the other end has not closed its side, in the order of their closes.
	draining list.List
	// unlimited is set once the process stops: then callers are asked to leave, and few further connections come.
	unlimited bool
}

// closing is what is known of a connection at its close.
type closing struct {
	service string
	remote  net.Addr
	begun   time.Time
	// unread is how many bytes have arrived and were not read, undelivered how many were written and not acknowledged.
	unread      int
	undelivered int
	// skip is set if only further requests can be unread, or arrive.
	skip bool
	// end is why the socket was closed.
	end end
}

// end is why a socket was closed.
type end string

const (
	// remoteFirst stands for the other end, which closed or reset the connection before this side did; remoteAfter for one
	// that closed it then, and reset for one that reset it then.
	remoteFirst end = "first"
	remoteAfter end = "after"
	reset       end = "reset"
	// idle stands for a connection on which nothing was to be delivered.
	idle end = "idle"
	// timedOut stands for another end that did not close in time, excess for one that went on sending, evicted for one that
	// gave way to later ones, and cut for the end of the time for a planned stop.
	timedOut end = "timeout"
	excess   end = "excess"
	evicted  end = "evicted"
	cut      end = "cut"
)

// draining is a connection of which the other end has not closed its side.
type draining struct {
	conn *Conn
	// reason is why it is closed before that.
	reason end
}

// Name implements kernel.Service.
func (c *Closer) Name() string { return "close" }

// Start implements kernel.Service.
func (c *Closer) Start(context.Context, kernel.Finder) error { return nil }

// Health implements kernel.Service; it always returns nil.
func (c *Closer) Health() error { return nil }

// Leave tells that the process stops: from now on as many connections may be drained as there are.
func (c *Closer) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlimited = true
}

// Stop waits until the other ends have closed their sides of all connections. Those that have not shortly before ctx ends
// are closed.
func (c *Closer) Stop(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, stopper.FromContext(ctx).Close)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for c.count() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.abandon()
			<-ticker.C // until these closes are counted and logged
			return nil
		}
	}
	return nil
}

func (c *Closer) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining.Len()
}

// abandon closes all connections that are drained.
func (c *Closer) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.draining.Len() > 0 {
		c.interrupt(c.draining.Front(), cut)
	}
}

// interrupt ends the draining of a connection.
func (c *Closer) interrupt(element *list.Element, reason end) {
	d := element.Value.(*draining) //nolint:errcheck,forcetypeassert // the list holds nothing else
	c.draining.Remove(element)
	d.reason = reason
	d.conn.release()
	_ = d.conn.TCPConn.Close()
}

// add begins the draining of a connection. It evicts the one that has been drained for longest if there are too many.
func (c *Closer) add(conn *Conn) *list.Element {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.draining.PushBack(&draining{conn: conn})
	if c.draining.Len() > maxDraining && !c.unlimited {
		c.interrupt(c.leastNeeded(), evicted)
	}
	c.Metrics.addDraining(1)
	return element
}

// leastNeeded returns the first connection to which everything was delivered, or else the first.
func (c *Closer) leastNeeded() *list.Element {
	for e := c.draining.Front(); e != nil; e = e.Next() {
		d := e.Value.(*draining) //nolint:errcheck,forcetypeassert // the list holds nothing else
		if left, _ := prober.Unacknowledged(d.conn.TCPConn); left == 0 {
			return e
		}
	}
	return c.draining.Front()
}

// drain closes the socket of a connection once the other end has closed its side, or when a drainer gives up.
func (c *Closer) drain(element *list.Element, e closing) {
	d := element.Value.(*draining) //nolint:errcheck,forcetypeassert // the list holds nothing else
	<-d.conn.readEnds
	e.end = (&drainer{conn: d.conn.TCPConn, skip: e.skip}).drain(e.begun)
	c.mu.Lock()
	if d.reason != "" {
		e.end = d.reason
	}
	c.mu.Unlock()
	d.conn.release()
	_ = d.conn.socket.closeNow(d.conn, e)
	c.mu.Lock()
	c.draining.Remove(element)
	c.mu.Unlock()
	c.Metrics.addDraining(-1)
}

// record counts a close, and logs it unless both ends closed in an orderly way and nothing was left unread.
func (c *Closer) record(e closing) {
	c.Metrics.record(e)
	orderly := e.end == remoteFirst || e.end == remoteAfter || e.end == idle
	if orderly && e.unread == 0 {
		return
	}
	_ = level.Info(c.Logger).Log("msg", "connection closed", "service", e.service, "remote", e.remote, "end", e.end,
		"unread", e.unread, "undelivered", e.undelivered, "took", time.Since(e.begun))
}

// Package courier sends the replicator's messages between controllers. It never blocks its caller: messages that do not
// fit a queue are dropped, and the replicator retransmits them.
package courier

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	// callTimeout bounds a call, besides the time for its bytes at transferRate, in bytes a second.
	callTimeout  = 2 * time.Second
	transferRate = 1 << 20
	// callsPerPeer is how many calls with small messages to one controller may be in flight at once. With several of
	// them, a call that hangs on an unresponsive connection does not delay the heartbeats queued behind it. There is one
	// more with a large message.
	callsPerPeer = 3
)

// Courier is the sending service. Set the exported fields before Start.
type Courier struct {
	Dialer *dialer.Dialer
	Logger log.Logger

	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	queues map[netip.AddrPort]*queue
	group  sync.WaitGroup
}

// Name implements kernel.Service.
func (c *Courier) Name() string { return "courier" }

// Start creates the HTTP client. It returns an error if that fails.
func (c *Courier) Start(context.Context, kernel.Finder) error {
	client, err := c.Dialer.Client()
	if err != nil {
		return err
	}
	c.client = client
	c.queues = map[netip.AddrPort]*queue{}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return nil
}

// Stop cancels all calls and waits for them to end. Queued messages are dropped.
func (c *Courier) Stop(context.Context) error {
	if c.cancel != nil {
		c.cancel()
		c.group.Wait()
		c.client.CloseIdleConnections()
	}
	return nil
}

// Health implements kernel.Service. It always returns nil.
func (c *Courier) Health() error { return nil }

// Send queues a message for the controller at an address, or drops it if the queue is full.
func (c *Courier) Send(address netip.AddrPort, m *wire.Message) {
	c.queue(address).add(m)
}

// queue returns the queue of an address. If there is none yet, queue creates it and starts its send loops.
func (c *Courier) queue(address netip.AddrPort) *queue {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q, ok := c.queues[address]; ok {
		return q
	}
	q := newQueue()
	c.queues[address] = q
	client := wireconnect.NewReplicasClient(c.client, c.Dialer.URL(address))
	for range callsPerPeer {
		c.group.Go(func() { c.sendLoop(address, client, q.nextSmall) })
	}
	c.group.Go(func() { c.sendLoop(address, client, q.nextLarge) })
	return q
}

// sendLoop sends queued messages in batches, and logs when the controller's reachability changes.
func (c *Courier) sendLoop(
	address netip.AddrPort, client wireconnect.ReplicasClient, next func(context.Context) (batch, bool),
) {
	failing := false
	for {
		b, ok := next(c.ctx)
		if !ok {
			return
		}
		ctx, usage := dialer.WithUsage(c.ctx)
		err := c.deliver(ctx, client, b)
		b.done()
		if (err != nil) != failing {
			failing = err != nil
			_ = level.Warn(c.Logger).Log("msg", "peer", "address", address, "reachable", !failing, "connection", usage,
				"err", err)
		}
	}
}

// deliver sends a batch in one call. A large message whose call broke off is sent once more: the replicator takes it for lost
// only when its transfer could have ended, and does nothing if it receives it twice. Nothing else is retried here.
func (c *Courier) deliver(ctx context.Context, client wireconnect.ReplicasClient, b batch) error {
	transfer := time.Duration(b.bytes) * time.Second / transferRate
	ctx, cancel := context.WithTimeout(ctx, callTimeout+transfer)
	defer cancel()
	_, err := client.Deliver(ctx, connect.NewRequest(&wire.DeliverRequest{Messages: b.messages}))
	if b.bytes > 0 && connect.CodeOf(err) == connect.CodeUnavailable {
		_, err = client.Deliver(ctx, connect.NewRequest(&wire.DeliverRequest{Messages: b.messages}))
	}
	return err
}

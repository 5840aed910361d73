// Package courier carries messages between controllers. It never blocks its caller: what does not fit a
// queue is dropped, and the replicator sends it again.
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
	queueLength = 1024
	maxBatch    = 128
	callTimeout = 2 * time.Second
	// lanes is how many calls to one controller run at once, so that a call which hangs on a silent
	// connection does not hold up the heartbeats behind it.
	lanes = 3
)

// Courier is the sending service. Set the exported fields before Start.
type Courier struct {
	Dialer *dialer.Dialer
	Logger log.Logger

	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	queues map[netip.AddrPort]chan *wire.Message
	group  sync.WaitGroup
}

// Name implements kernel.Service.
func (c *Courier) Name() string { return "courier" }

// Start makes the client.
func (c *Courier) Start(context.Context, kernel.Finder) error {
	client, err := c.Dialer.Client()
	if err != nil {
		return err
	}
	c.client = client
	c.queues = map[netip.AddrPort]chan *wire.Message{}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return nil
}

// Stop ends all sending.
func (c *Courier) Stop(context.Context) error {
	if c.cancel != nil {
		c.cancel()
		c.group.Wait()
		c.client.CloseIdleConnections()
	}
	return nil
}

// Health implements kernel.Service.
func (c *Courier) Health() error { return nil }

// Send queues a message, or drops it when the queue is full.
func (c *Courier) Send(address netip.AddrPort, m *wire.Message) {
	select {
	case c.queue(address) <- m:
	default:
	}
}

func (c *Courier) queue(address netip.AddrPort) chan *wire.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q, ok := c.queues[address]; ok {
		return q
	}
	q := make(chan *wire.Message, queueLength)
	c.queues[address] = q
	client := wireconnect.NewReplicasClient(c.client, c.Dialer.URL(address))
	for range lanes {
		c.group.Go(func() { c.carry(address, client, q) })
	}
	return q
}

func (c *Courier) carry(address netip.AddrPort, client wireconnect.ReplicasClient, q chan *wire.Message) {
	failing := false
	for {
		batch, ok := c.collect(q)
		if !ok {
			return
		}
		err := c.call(client, batch)
		if (err != nil) != failing {
			failing = err != nil
			_ = level.Warn(c.Logger).Log("msg", "peer", "address", address, "reachable", !failing, "err", err)
		}
	}
}

func (c *Courier) collect(q chan *wire.Message) ([]*wire.Message, bool) {
	var batch []*wire.Message
	select {
	case m := <-q:
		batch = append(batch, m)
	case <-c.ctx.Done():
		return nil, false
	}
	for len(batch) < maxBatch {
		select {
		case m := <-q:
			batch = append(batch, m)
		default:
			return batch, true
		}
	}
	return batch, true
}

func (c *Courier) call(client wireconnect.ReplicasClient, batch []*wire.Message) error {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	_, err := client.Deliver(ctx, connect.NewRequest(&wire.DeliverRequest{Messages: batch}))
	return err
}

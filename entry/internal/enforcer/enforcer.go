// Package enforcer enforces the quotas of organisations: it decides on requests, and requests from the controllers the
// parts of quotas that this instance needs.
package enforcer

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/placer"
	"chervilrail.example/core/quoter"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
	"chervilrail.example/entry/internal/locator"
	"chervilrail.example/entry/internal/watcher"
)

const (
	// callTimeout covers two round trips between regions and a controller's work. A lost packet costs one more call.
	callTimeout = 400 * time.Millisecond
	// failurePause is the pause after a failed call.
	failurePause = 100 * time.Millisecond
	// minBatchDelay and maxBatchDelay limit how long demand is collected for one call.
	minBatchDelay = 20 * time.Millisecond
	maxBatchDelay = 100 * time.Millisecond
	// checkInterval is how often the service checks whether parts need to be renewed without demand.
	checkInterval = 250 * time.Millisecond
)

// Controllers provides the address of the controller to call, or false if none is known.
type Controllers interface {
	Controller() (netip.AddrPort, bool)
}

// Peers finds the entry instances that hold the region's parts of quotas, and calls them.
type Peers interface {
	// Owner returns the instance that owns an object.
	Owner(peers []locator.Peer, object uint64) locator.Peer
	// SpendAt has an owner count a request, or return one that was counted.
	SpendAt(ctx context.Context, owner locator.Peer, r *wire.SpendRequest) (*wire.SpendResponse, error)
}

// Enforcer is the service that decides on requests by quotas. Set the exported fields before Start.
type Enforcer struct {
	Self        *wire.QuotaHolder
	Controllers Controllers
	Peers       Peers
	Dialer      *dialer.Dialer
	Logger      log.Logger

	mu     sync.Mutex
	holder quoter.Holder
	// answered is closed and replaced after each call to a controller, except when the controller requires a report of
	// all parts first.
	answered chan struct{}
	wake     chan struct{}
	failing  bool
	backoffs backoffs
	// plan, instances and regionPeers are what the holder was last updated with.
	plan        *wire.Plan
	instances   int
	regionPeers []locator.Peer
	// batchDelay is how long demand is collected before the next call: as long as the last call took, within bounds.
	batchDelay time.Duration

	client *http.Client
	cancel context.CancelFunc
	done   chan struct{}
}

// Name implements kernel.Service.
func (a *Enforcer) Name() string { return "ask" }

// Health implements kernel.Service.
func (a *Enforcer) Health() error { return nil }

// Start implements kernel.Service. It starts requesting parts, and fails if the client can't be created.
func (a *Enforcer) Start(context.Context, kernel.Finder) error {
	client, err := a.Dialer.Client()
	if err != nil {
		return err
	}
	a.client = client
	a.holder.Self, a.holder.Started = a.Self, time.Now()
	a.answered, a.wake, a.done = make(chan struct{}), make(chan struct{}, 1), make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	go a.run(ctx)
	return nil
}

// Stop implements kernel.Service. It waits until no call is in flight.
func (a *Enforcer) Stop(context.Context) error {
	if a.cancel != nil {
		a.cancel()
		<-a.done
		a.client.CloseIdleConnections()
	}
	return nil
}

// Update sets the organisations of the plan in force and the entry instances that share their quotas.
func (a *Enforcer) Update(now time.Time, v *watcher.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.plan != v.Table.Plan {
		a.plan = v.Table.Plan
		a.holder.Update(now, a.plan)
	}
	if a.instances != v.InstanceCount || !slices.Equal(a.regionPeers, v.Peers) {
		a.instances, a.regionPeers = v.InstanceCount, v.Peers
		a.holder.SetFleet(quoter.Fleet{Total: v.InstanceCount, InRegion: len(v.Peers), Owns: func(organisation string) bool {
			return a.Peers.Owner(v.Peers, keyOf(organisation)).Name == a.Self.GetName()
		}})
	}
	a.wakeUp()
}

// keyOf returns the key that determines the owner of an organisation's part. The prefix keeps it apart from the objects
// that instances own.
func keyOf(organisation string) uint64 { return placer.ObjectHash("organisation/" + organisation) }

func (a *Enforcer) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Enforcer) run(ctx context.Context) {
	defer close(a.done)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.wake:
		}
		if !a.due() {
			continue
		}
		pause := a.batchDelay
		switch a.requestParts(ctx) {
		case failed:
			pause = failurePause
			a.wakeUp()
		case incomplete:
			a.wakeUp()
			continue
		case complete:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// due reports whether a call is due.
func (a *Enforcer) due() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.HasPending() || a.holder.RenewalDue(time.Now())
}

// callResult is the result of a call to a controller.
type callResult int

const (
	failed callResult = iota
	// incomplete: the controller requires a report of all parts first.
	incomplete
	complete
)

// requestParts makes one call.
func (a *Enforcer) requestParts(ctx context.Context) callResult {
	at, ok := a.Controllers.Controller()
	if !ok {
		return failed
	}
	sent := time.Now()
	a.mu.Lock()
	request := a.holder.Request(sent)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := wireconnect.NewExchangeClient(a.client, a.Dialer.URL(at)).Allot(ctx, connect.NewRequest(request))
	a.logChange(at, err)
	a.batchDelay = min(maxBatchDelay, max(minBatchDelay, time.Since(sent)))
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.holder.Accept(time.Now(), sent, response.Msg)
	}
	if err == nil && response.Msg.GetWhole() {
		return incomplete
	}
	// Also after a failed call, waiting requests have to state their demand again.
	close(a.answered)
	a.answered = make(chan struct{})
	if err != nil {
		return failed
	}
	return complete
}

// logChange logs when calls start to fail and when they succeed again.
func (a *Enforcer) logChange(at netip.AddrPort, err error) {
	if (err != nil) == a.failing {
		return
	}
	a.failing = err != nil
	if err != nil {
		_ = level.Warn(a.Logger).Log("msg", "no parts of quotas", "controller", at, "err", err)
		return
	}
	_ = level.Info(a.Logger).Log("msg", "parts of quotas answered", "controller", at)
}

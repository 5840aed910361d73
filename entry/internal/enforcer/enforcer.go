// Package enforcer is the service that decides on requests by their organisations' quotas, and asks the controllers for the
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
	// callTimeout is two round trips between regions and a controller's work; a lost packet costs one more call.
	callTimeout = 400 * time.Millisecond
	// pause is waited after a call that failed.
	pause = 100 * time.Millisecond
	// minGather and maxGather bound how long needs are gathered for one call.
	minGather = 20 * time.Millisecond
	maxGather = 100 * time.Millisecond
	// lookEvery is how often parts are looked at that no request asks for.
	lookEvery = 250 * time.Millisecond
)

// Controllers names the controller to ask, false if none is known.
type Controllers interface {
	Controller() (netip.AddrPort, bool)
}

// Peers finds the entry instances of the region that hold parts for all, and asks them.
type Peers interface {
	Owner(peers []locator.Peer, object uint64) locator.Peer
	Ask(ctx context.Context, owner locator.Peer, r *wire.SpendRequest) (*wire.SpendResponse, error)
}

// Enforcer is the service. Set the exported fields before Start.
type Enforcer struct {
	Self        *wire.QuotaHolder
	Controllers Controllers
	Peers       Peers
	Dialer      *dialer.Dialer
	Logger      log.Logger

	mu     sync.Mutex
	holder quoter.Holder
	// answered is closed and replaced when an answer has come.
	answered chan struct{}
	wake     chan struct{}
	failing  bool
	turns    turns
	// plan, entries and near are what the holder was last fitted to.
	plan    *wire.Plan
	entries int
	near    []locator.Peer
	// gather is how long needs are gathered before the next call: as long as the last one took.
	gather time.Duration

	client *http.Client
	cancel context.CancelFunc
	done   chan struct{}
}

// Name implements kernel.Service.
func (a *Enforcer) Name() string { return "ask" }

// Health implements kernel.Service.
func (a *Enforcer) Health() error { return nil }

// Start begins to ask.
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

// Stop ends asking.
func (a *Enforcer) Stop(context.Context) error {
	if a.cancel != nil {
		a.cancel()
		<-a.done
		a.client.CloseIdleConnections()
	}
	return nil
}

// Update takes the organisations of the plan in force and the entry instances that share their quotas.
func (a *Enforcer) Update(now time.Time, v *watcher.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.plan != v.Table.Plan {
		a.plan = v.Table.Plan
		a.holder.Update(now, a.plan)
	}
	if a.entries != v.Entries || !slices.Equal(a.near, v.Peers) {
		a.entries, a.near = v.Entries, v.Peers
		a.holder.Share(quoter.Fleet{All: v.Entries, Near: len(v.Peers), Owns: func(organisation string) bool {
			return a.Peers.Owner(v.Peers, keyOf(organisation)).Name == a.Self.GetName()
		}})
	}
	a.nudge()
}

// keyOf tells an organisation from the objects that instances answer for.
func keyOf(organisation string) uint64 { return placer.ObjectHash("organisation/" + organisation) }

func (a *Enforcer) nudge() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Enforcer) run(ctx context.Context) {
	defer close(a.done)
	ticker := time.NewTicker(lookEvery)
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
		rest := a.gather
		switch a.ask(ctx) {
		case failed:
			rest = pause
			a.nudge()
		case incomplete:
			a.nudge()
			continue
		case complete:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rest):
		}
	}
}

// due reports whether there is something to ask for.
func (a *Enforcer) due() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Wants() || a.holder.Stale(time.Now())
}

// ending is how a call ended.
type ending int

const (
	failed ending = iota
	// incomplete: the controller wants to know everything that is held first.
	incomplete
	complete
)

// ask makes one call.
func (a *Enforcer) ask(ctx context.Context) ending {
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
	a.note(at, err)
	a.gather = min(maxGather, max(minGather, time.Since(sent)))
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.holder.Answer(time.Now(), sent, response.Msg)
	}
	if err == nil && response.Msg.GetWhole() {
		return incomplete
	}
	// Also after a call that failed those who wait have to say anew what they lack.
	close(a.answered)
	a.answered = make(chan struct{})
	if err != nil {
		return failed
	}
	return complete
}

// note logs where answers cease and where they come back.
func (a *Enforcer) note(at netip.AddrPort, err error) {
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

// Package watcher is the service that follows the control state: it asks one controller after the other for what is
// new, and publishes an immutable View of it. Traffic goes on with the last one when no controller answers.
package watcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/planner"
	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	// callTimeout is the second that a controller holds a call without news, and a round trip with one loss.
	callTimeout = 2200 * time.Millisecond
	// pause is waited after a controller failed or lost touch with the others.
	pause = 50 * time.Millisecond
	// shun is how long such a controller is not asked again while there are others: about as long as a lost link
	// takes to show.
	shun = 2 * time.Second
)

// Watcher is the service. Set the exported fields before Start.
type Watcher struct {
	Node   *wire.Node
	Seeds  []netip.AddrPort
	Dialer *dialer.Dialer
	Logger log.Logger
	// Losses takes what other instances report of requests that were in flight when a target died.
	Losses func(reports []*wire.Loss)
	// Changed is called with every new view, by the goroutine that owns the control state.
	Changed func(v *View)

	view    atomic.Pointer[View]
	leaving atomic.Bool
	mu      sync.Mutex
	reports []*wire.Loss
	kick    context.CancelFunc

	state  state
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// state is owned by the one goroutine that watches.
type state struct {
	at          netip.AddrPort
	controllers []netip.AddrPort
	run         uint64
	counter     uint64
	revision    uint64
	plan        *planner.Table
	evacuated   []string
	targets     registrar.Registrar
	cold        map[string]time.Time
	nodes       []*wire.Node
	failing     bool
	// shunned holds until when a controller that failed is left alone.
	shunned map[netip.AddrPort]time.Time
}

// Name implements kernel.Service.
func (w *Watcher) Name() string { return "watch" }

// Start begins to watch.
func (w *Watcher) Start(context.Context, kernel.Finder) error {
	client, err := w.Dialer.Client()
	if err != nil {
		return err
	}
	w.client = client
	w.Node.Incarnation = rand.Uint64()
	w.state.cold = map[string]time.Time{}
	w.state.shunned = map[netip.AddrPort]time.Time{}
	w.state.controllers = slices.Clone(w.Seeds)
	w.done = make(chan struct{})
	w.ctx, w.cancel = context.WithCancel(context.Background())
	go w.run()
	return nil
}

// Stop ends watching.
func (w *Watcher) Stop(context.Context) error {
	if w.cancel != nil {
		w.cancel()
		<-w.done
		w.client.CloseIdleConnections()
	}
	return nil
}

// Health implements kernel.Service.
func (w *Watcher) Health() error {
	if w.View() == nil {
		return &BlindError{}
	}
	return nil
}

// View returns the newest view, or nil before the first.
func (w *Watcher) View() *View { return w.view.Load() }

// Leave tells the controllers that this instance stops, so that callers are no longer sent here.
func (w *Watcher) Leave() {
	w.leaving.Store(true)
	w.interrupt()
}

// Reseed replaces the controllers to turn to when none of the known ones answers.
func (w *Watcher) Reseed(seeds []netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Seeds = slices.Clone(seeds)
}

func (w *Watcher) seeds() []netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Seeds
}

// Report passes on that a request was in flight when a target died.
func (w *Watcher) Report(l *wire.Loss) {
	w.mu.Lock()
	w.reports = append(w.reports, l)
	w.mu.Unlock()
	w.interrupt()
}

// interrupt ends the call that waits for news, so that the next one carries ours.
func (w *Watcher) interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.kick != nil {
		w.kick()
	}
}

func (w *Watcher) run() {
	defer close(w.done)
	for w.ctx.Err() == nil {
		if w.ask() {
			continue
		}
		select {
		case <-w.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// ask makes one call and reports whether to go on at once.
func (w *Watcher) ask() bool {
	s := &w.state
	if !s.at.IsValid() {
		s.at = s.controllers[rand.IntN(len(s.controllers))]
	}
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	request := w.request(cancel)
	client := wireconnect.NewExchangeClient(w.client, w.Dialer.URL(s.at))
	response, err := client.Watch(ctx, connect.NewRequest(request))
	if err != nil {
		return w.failed(err, request.GetLosses(), ctx.Err() == context.Canceled)
	}
	w.take(time.Now(), response.Msg)
	if s.failing {
		s.failing = false
		_ = level.Info(w.Logger).Log("msg", "controller answers", "controller", s.at)
	}
	if response.Msg.GetLinked() {
		return true
	}
	_ = level.Warn(w.Logger).Log("msg", "controller lost touch with the others", "controller", s.at)
	w.move()
	return false
}

func (w *Watcher) request(cancel context.CancelFunc) *wire.WatchRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kick = cancel
	s := &w.state
	node := &wire.Node{
		Name: w.Node.GetName(), Incarnation: w.Node.GetIncarnation(), Caller: w.Node.GetCaller(),
		Region: w.Node.GetRegion(), Zone: w.Node.GetZone(),
		// Without a plan this instance would refuse every caller that a look-up sends here.
		Leaving: w.leaving.Load() || s.plan == nil,
	}
	out := &wire.WatchRequest{Node: node, Run: s.run, Counter: s.counter, Revision: s.revision, Losses: w.reports}
	w.reports = nil
	if s.plan != nil {
		out.Version = s.plan.Plan.GetVersion()
	}
	return out
}

// failed turns to another controller, unless the call was ended from here.
func (w *Watcher) failed(err error, losses []*wire.Loss, interrupted bool) bool {
	if w.ctx.Err() != nil {
		return false
	}
	if interrupted {
		return true
	}
	w.mu.Lock()
	w.reports = append(w.reports, losses...)
	w.mu.Unlock()
	if !w.state.failing {
		w.state.failing = true
		_ = level.Warn(w.Logger).Log("msg", "controller does not answer", "controller", w.state.at, "err", err)
	}
	w.move()
	return false
}

// move chooses another controller, of those known and the seeds: all known ones may have been replaced while this
// instance was cut off. What the next one knows is counted anew.
func (w *Watcher) move() {
	s := &w.state
	now := time.Now()
	s.shunned[s.at] = now.Add(shun)
	all := append(slices.Clone(s.controllers), w.seeds()...)
	others := slices.DeleteFunc(slices.Clone(all), func(a netip.AddrPort) bool { return now.Before(s.shunned[a]) })
	if len(others) == 0 {
		others = all
	}
	s.at = others[rand.IntN(len(others))]
	s.run, s.counter = 0, 0
}

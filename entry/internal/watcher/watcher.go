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
	"chervilrail.example/core/gauger"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/planner"
	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	// callTimeout is the second that a controller holds a call without news, and a round trip with one loss. A change has
	// to be in force within 2.5 s, also where a controller has just frozen.
	callTimeout = 1800 * time.Millisecond
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
	// Hosts takes where objects were last kept warm.
	Hosts func(hosts []*wire.Host)
	// Loads takes how busy targets are, as all instances of the region saw it.
	Loads func(loads []gauger.Reading)
	// Changed is called with every new view, by the goroutine that owns the control state.
	Changed func(v *View)

	view   atomic.Pointer[View]
	mu     sync.Mutex
	teller teller
	// seen is what targets reported here since the last call.
	seen gauger.Collector

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
	// near are the controllers of this region that the others reach.
	near []netip.AddrPort
	// asked is set after the first call.
	asked     bool
	run       uint64
	counter   uint64
	hosted    uint64
	loaded    uint64
	revision  uint64
	plan      *planner.Table
	evacuated []string
	targets   registrar.Registrar
	cold      map[string]time.Time
	nodes     map[string]*wire.Node
	failing   bool
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
	w.state.nodes = map[string]*wire.Node{}
	w.state.shunned = map[netip.AddrPort]time.Time{}
	w.state.controllers = slices.Clone(w.Seeds)
	w.done = make(chan struct{})
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.teller.start(w)
	go w.run()
	return nil
}

// Stop ends watching.
func (w *Watcher) Stop(context.Context) error {
	if w.cancel != nil {
		w.cancel()
		<-w.done
		<-w.teller.done
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

// Controller returns the controller that is watched, false before the first.
func (w *Watcher) Controller() (netip.AddrPort, bool) {
	at := w.teller.at.Load()
	if at == nil {
		return netip.AddrPort{}, false
	}
	return *at, true
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
	at := s.at // a copy, for the teller reads it while this goroutine turns to another controller
	w.teller.at.Store(&at)
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	client := wireconnect.NewExchangeClient(w.client, w.Dialer.URL(s.at))
	response, err := client.Watch(ctx, connect.NewRequest(w.request()))
	if err != nil {
		return w.failed(err)
	}
	s.asked = true
	if s.failing {
		s.failing = false
		_ = level.Info(w.Logger).Log("msg", "controller answers", "controller", s.at)
	}
	if response.Msg.GetRun() == 0 {
		w.takeControllers(response.Msg)
		w.approach()
		return true
	}
	w.take(time.Now(), response.Msg)
	if response.Msg.GetLinked() {
		w.approach()
		return true
	}
	_ = level.Warn(w.Logger).Log("msg", "controller lost touch with the others", "controller", s.at)
	w.move()
	return false
}

func (w *Watcher) request() *wire.WatchRequest {
	s := &w.state
	out := &wire.WatchRequest{
		// Without a plan this instance would refuse every caller that a look-up sends here.
		Node: w.node(s.plan == nil), Run: s.run, Counter: s.counter, Revision: s.revision, First: !s.asked,
		Hosted: s.hosted, Loaded: s.loaded, Loads: w.observed(),
	}
	if s.plan != nil {
		out.Version = s.plan.Plan.GetVersion()
	}
	return out
}

// Observe takes a target's report, to be passed on with the next call.
func (w *Watcher) Observe(r gauger.Reading) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen.Add(r)
}

func (w *Watcher) observed() *wire.Loads {
	w.mu.Lock()
	defer w.mu.Unlock()
	return gauger.Encode(w.seen.Take())
}

// node describes this instance; blind ones are not named to callers.
func (w *Watcher) node(blind bool) *wire.Node {
	return &wire.Node{
		Name: w.Node.GetName(), Incarnation: w.Node.GetIncarnation(), Caller: w.Node.GetCaller(), Peer: w.Node.GetPeer(),
		Region: w.Node.GetRegion(), Zone: w.Node.GetZone(), Leaving: blind || w.teller.leaving.Load(),
		Starting: blind && !w.teller.leaving.Load(),
	}
}

// failed turns to another controller.
func (w *Watcher) failed(err error) bool {
	if w.ctx.Err() != nil {
		return false
	}
	if !w.state.failing {
		w.state.failing = true
		_ = level.Warn(w.Logger).Log("msg", "controller does not answer", "controller", w.state.at, "err", err)
	}
	w.move()
	return false
}

// approach turns to a controller of this region, if the present one is elsewhere and one can be reached: every change
// reaches every entry instance, and links between regions are dear.
func (w *Watcher) approach() {
	s := &w.state
	if slices.Contains(s.near, s.at) {
		return
	}
	if near := w.usable(time.Now(), s.near); len(near) > 0 {
		w.turn(near)
	}
}

// usable leaves out the controllers that failed lately.
func (w *Watcher) usable(now time.Time, list []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(list), func(a netip.AddrPort) bool { return now.Before(w.state.shunned[a]) })
}

// turn takes one of the controllers. What it knows is counted anew.
func (w *Watcher) turn(list []netip.AddrPort) {
	w.state.at = list[rand.IntN(len(list))]
	w.state.run, w.state.counter, w.state.hosted, w.state.loaded = 0, 0, 0, 0
}

// move chooses another controller, a near one if there is any, else of those known and the seeds: all known ones may
// have been replaced while this instance was cut off.
func (w *Watcher) move() {
	s := &w.state
	now := time.Now()
	s.shunned[s.at] = now.Add(shun)
	all := append(slices.Clone(s.controllers), w.seeds()...)
	for _, list := range [][]netip.AddrPort{w.usable(now, s.near), w.usable(now, all), all} {
		if len(list) > 0 {
			w.turn(list)
			return
		}
	}
}

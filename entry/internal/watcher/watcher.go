// Package watcher is the service that follows the control state: it long-polls one controller at a time for changes,
// and publishes an immutable View of the state. Traffic continues with the last View when no controller answers.
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

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/gauger"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/logger"
	"chervilrail.example/core/planner"
	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
)

const (
	// changeTimeout is the time within which an accepted change has to be in force at all instances.
	changeTimeout = 2500 * time.Millisecond
	// minRetryPause is the pause after a controller failed or reported that it can't reach most of the voters. It doubles
	// with each further failure, up to maxRetryPause: hundreds of instances that call again at once would take the
	// controllers the time that they need to elect a leader.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// avoidTime is how long such a controller is not called again while there are others: about as long as a lost link
	// takes to be detected.
	avoidTime = 2 * time.Second
	// maxPositions is how many controllers' positions are kept.
	maxPositions = 64
)

// Watcher is the service. Set the exported fields before Start.
type Watcher struct {
	// Instance describes this entry instance; Start sets its incarnation.
	Instance *wire.Node
	// Seeds are the controllers to call first. Later they are candidates for a fail-over, as are those that responses
	// name.
	Seeds  []netip.AddrPort
	Dialer *dialer.Dialer
	Logger log.Logger
	// OnLosses receives the reports of other instances on requests that were in flight when a target died, or that
	// succeeded.
	OnLosses func(losses []*wire.Loss)
	// OnHosts receives the targets at which objects were last kept warm.
	OnHosts func(hosts []*wire.Host)
	// OnLoads receives the loads of targets, as measured by all instances of the region.
	OnLoads func(loads []gauger.Reading)
	// OnBackoffs receives the times for which targets want no requests of some entry instance.
	OnBackoffs func(backoffs []*wire.Backoff)
	// OnView is called with every new view, by the goroutine that owns the control state.
	OnView func(v *View)

	view atomic.Pointer[View]
	// mu guards Seeds and readings.
	mu       sync.Mutex
	reporter reporter
	// readings holds the loads that targets reported to this instance since the last Watch call.
	readings gauger.Collector

	state  state
	client *http.Client
	// calls are the goroutines of Watch calls, outcomes how their calls ended.
	calls    sync.WaitGroup
	outcomes chan outcome
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}
}

// state is owned by the goroutine that makes the Watch calls.
type state struct {
	controller  netip.AddrPort
	controllers []netip.AddrPort
	// near are the controllers of this region that the present controller has lately reached.
	near []netip.AddrPort
	// polled is set once a Watch call has succeeded.
	polled bool
	// position is that in the present controller's changes, positions holds those of the others.
	position
	positions map[netip.AddrPort]position
	// observed and loaded are the counters of the present controller up to which this instance has its observations of
	// entry instances and its loads. Unlike records, these have no order of their own: after a visit to another
	// controller, all of them are needed.
	observed  uint64
	loaded    uint64
	revision  uint64
	plan      *planner.Table
	evacuated []string
	targets   registrar.Registrar
	coldUntil map[string]time.Time
	instances map[string]*wire.Node
	// limits are the limits that targets have named, by the target.
	limits map[string]*wire.RateLimit
	// unpublished is set while the state contains changes that no view shows.
	unpublished bool
	// confirmed is the newest time for which the plan and the evacuations held here are known to have been the newest of
	// all, or zero.
	confirmed time.Time
	// established is set once that time was recent enough to serve requests. From then on this instance goes on with what
	// it has when no controller answers.
	established bool
	failing     bool
	// retryPause is the pause after the next failure, nextCall the time before which no call is made.
	retryPause time.Duration
	nextCall   time.Time
	// late are the calls that were not answered in time but may be yet.
	late []*call
	// avoidUntil holds until when a controller that failed is not called while there are others.
	avoidUntil map[netip.AddrPort]time.Time
}

// position is what this instance has received from one controller, by the counters in its last response. It stays valid
// while other controllers are called, so that a controller that was too slow once does not have to send everything
// again, which would make it slower.
type position struct {
	run     uint64
	counter uint64
	hosted  uint64
}

// Name implements kernel.Service.
func (w *Watcher) Name() string { return "watch" }

// Start starts the Watch calls and the reports.
func (w *Watcher) Start(context.Context, kernel.Finder) error {
	client, err := w.Dialer.Client()
	if err != nil {
		return err
	}
	w.client = client
	w.Instance.Incarnation = rand.Uint64()
	w.state.coldUntil = map[string]time.Time{}
	w.state.instances = map[string]*wire.Node{}
	w.state.limits = map[string]*wire.RateLimit{}
	w.state.avoidUntil = map[netip.AddrPort]time.Time{}
	w.state.positions = map[netip.AddrPort]position{}
	w.state.controllers = slices.Clone(w.Seeds)
	w.done, w.outcomes = make(chan struct{}), make(chan outcome)
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.reporter.start(w)
	go w.run()
	return nil
}

// Stop cancels all calls and waits for the goroutines to end.
func (w *Watcher) Stop(context.Context) error {
	if w.cancel != nil {
		w.cancel()
		<-w.done
		<-w.reporter.done
		w.calls.Wait()
		w.client.CloseIdleConnections()
	}
	return nil
}

// Health implements kernel.Service; it returns a NoPlanError before the first view.
func (w *Watcher) Health() error {
	if w.View() == nil {
		return &NoPlanError{}
	}
	return nil
}

// View returns the newest view, or nil before the first.
func (w *Watcher) View() *View { return w.view.Load() }

// Controller returns the controller that Watch calls go to, and false before the first call.
func (w *Watcher) Controller() (netip.AddrPort, bool) {
	controller := w.reporter.controller.Load()
	if controller == nil {
		return netip.AddrPort{}, false
	}
	return *controller, true
}

// SetSeeds replaces the seeds; the new ones are used from the next fail-over.
func (w *Watcher) SetSeeds(seeds []netip.AddrPort) {
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
		w.poll()
		select {
		case <-w.ctx.Done():
		case <-time.After(time.Until(w.state.nextCall)):
		}
	}
}

// pause sets the time of the next call after a failure that began at a time, and doubles the pause after the next one. Half of it is random,
// so that instances that failed together do not call together again.
func (w *Watcher) pause(begun time.Time) {
	s := &w.state
	pause := max(minRetryPause, s.retryPause)
	s.retryPause = min(maxRetryPause, 2*pause)
	s.nextCall = begun.Add(pause/2 + rand.N(pause/2))
}

// poll makes one Watch call.
func (w *Watcher) poll() {
	s := &w.state
	if !s.controller.IsValid() {
		s.controller = s.controllers[rand.IntN(len(s.controllers))]
	}
	controller := s.controller // a copy: the reporter reads it while this goroutine may switch to another controller
	w.reporter.controller.Store(&controller)
	current := w.startCall()
	o := w.await(current)
	if o.err != nil {
		w.handleError(o)
		return
	}
	w.adopt(o.call, current)
	w.handleAnswer(o)
}

// handleAnswer applies a controller's answer.
func (w *Watcher) handleAnswer(o outcome) {
	s := &w.state
	s.polled = true
	if s.failing {
		s.failing = false
		_ = level.Info(w.Logger).Log("msg", "controller answers", "controller", s.controller,
			"took", time.Since(o.call.sent), "connection", o.call.usage)
	}
	if o.response.GetRun() == 0 {
		w.applyControllers(o.response)
		w.preferNear()
		return
	}
	w.apply(o.call.sent, time.Now(), o.response)
	if o.response.GetLinked() {
		s.retryPause = 0
		w.preferNear()
		return
	}
	controller := s.controller
	choice := w.failOver(time.Now())
	_ = level.Warn(w.Logger).Log("msg", "controller can't reach most voters", "controller", controller,
		"next", s.controller, "choice", choice)
}

func (w *Watcher) request() *wire.WatchRequest {
	s := &w.state
	out := &wire.WatchRequest{
		// Without an established plan this instance would refuse the callers that look-ups send here.
		Node: w.describe(!s.established), Run: s.run, Counter: s.counter, Revision: s.revision, First: !s.polled,
		Hosted: s.hosted, Loaded: s.loaded, Loads: w.takeReadings(), Unpacks: true, Observed: s.observed,
		Failing: s.failing,
	}
	if s.plan != nil {
		out.Version = s.plan.Plan.GetVersion()
	}
	return out
}

// Observe records a target's load, to be sent with the next Watch call.
func (w *Watcher) Observe(r gauger.Reading) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readings.Add(r)
}

func (w *Watcher) takeReadings() *wire.Loads {
	w.mu.Lock()
	defer w.mu.Unlock()
	return gauger.Encode(w.readings.Take())
}

// describe returns this instance's description for the controllers. An instance without a plan is reported as leaving,
// so that no work is shared with it, and, unless it stops, as starting: look-ups then name it only while fewer
// instances are ready than starting.
func (w *Watcher) describe(withoutPlan bool) *wire.Node {
	return &wire.Node{
		Name: w.Instance.GetName(), Incarnation: w.Instance.GetIncarnation(), Caller: w.Instance.GetCaller(),
		Peer: w.Instance.GetPeer(), Region: w.Instance.GetRegion(), Zone: w.Instance.GetZone(),
		Leaving:  withoutPlan || w.reporter.leaving.Load(),
		Starting: withoutPlan && !w.reporter.leaving.Load(),
	}
}

// handleError fails over to another controller, unless the call failed because the watcher stops.
func (w *Watcher) handleError(o outcome) {
	if w.ctx.Err() != nil {
		return
	}
	s := &w.state
	s.failing = true
	now := time.Now()
	choice := w.failOver(o.call.sent)
	_ = level.Warn(w.Logger).Log("msg", "controller does not answer", "controller", o.call.controller,
		"connection", o.call.usage, "took", now.Sub(o.call.sent), "age", logger.Age(now, s.confirmed),
		"next", s.controller, "choice", choice, "pause", s.nextCall.Sub(now), "err", o.err)
}

// preferNear switches to a controller of this region, if the present one is elsewhere and one is eligible: every change
// is sent to every entry instance, and traffic between regions is expensive.
func (w *Watcher) preferNear() {
	s := &w.state
	if slices.Contains(s.near, s.controller) {
		return
	}
	if near := w.eligible(time.Now(), s.near); len(near) > 0 {
		w.switchTo(near)
	}
}

// eligible returns the controllers of the list that have not failed lately.
func (w *Watcher) eligible(now time.Time, controllers []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(controllers), func(a netip.AddrPort) bool {
		return now.Before(w.state.avoidUntil[a])
	})
}

// switchTo selects one of the controllers at random, and continues at the position reached with it before.
func (w *Watcher) switchTo(controllers []netip.AddrPort) {
	s := &w.state
	next := controllers[rand.IntN(len(controllers))]
	if next == s.controller {
		return
	}
	s.positions[s.controller] = s.position
	if len(s.positions) > maxPositions {
		clear(s.positions)
	}
	s.controller, s.position = next, s.positions[next]
	s.observed, s.loaded = 0, 0
}

// choice is how the next controller was chosen after a failure.
type choice string

const (
	// chosenNear is a controller of this region that has not failed lately, chosenKnown one of the others.
	chosenNear  choice = "near"
	chosenKnown choice = "known"
	// chosenAny is any controller, as all have failed lately.
	chosenAny choice = "any"
)

// failOver avoids the present controller for a while and switches to another: one of this region if any is eligible,
// else one of the known controllers and the seeds, because all known ones may have been replaced while this instance
// was disconnected. If all of them failed lately, any of them is used. The pause before the next call counts from begun.
// It returns how the controller was chosen.
func (w *Watcher) failOver(begun time.Time) choice {
	s := &w.state
	now := time.Now()
	w.pause(begun)
	s.avoidUntil[s.controller] = now.Add(avoidTime)
	all := append(slices.Clone(s.controllers), w.seeds()...)
	if near := w.eligible(now, s.near); len(near) > 0 {
		w.switchTo(near)
		return chosenNear
	}
	if known := w.eligible(now, all); len(known) > 0 {
		w.switchTo(known)
		return chosenKnown
	}
	if len(all) > 0 {
		w.switchTo(all)
	}
	return chosenAny
}

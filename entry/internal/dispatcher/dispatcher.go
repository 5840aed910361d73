// Package dispatcher takes callers' requests to targets by the routing plan: it matches, places, sends and answers.
package dispatcher

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/aggregator"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/messenger"
	"chervilrail.example/core/placer"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/core/quoter"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/locator"
	"chervilrail.example/entry/internal/pooler"
	"chervilrail.example/entry/internal/watcher"
)

const (
	// tickInterval is how often waiting requests are looked after when nothing else happens.
	tickInterval  = 20 * time.Millisecond
	sweepInterval = time.Second
	// firstPlanTimeout is how long a request waits for the first plan.
	firstPlanTimeout = 300 * time.Millisecond
	// noPlanRetryDelay is after what a caller is asked back when no plan is known yet.
	noPlanRetryDelay = 500 * time.Millisecond
)

// Views gives the newest view of the control state.
type Views interface {
	View() *watcher.View
	Report(l *wire.Loss)
	Settle(h *wire.Host)
	Observe(r aggregator.Reading)
}

// Sender carries requests to targets.
type Sender interface {
	Send(ctx context.Context, address netip.AddrPort, r *pooler.Request) (*pooler.Answer, pooler.Ending, error)
	// CancelUndelivered gives up the requests that were sent to a target before a time and of which its machine has
	// acknowledged nothing, and returns how many.
	CancelUndelivered(address netip.AddrPort, before time.Time) int
	CloseIdle(address netip.AddrPort)
	Sweep(now time.Time)
	Close()
}

// Locator finds the target that keeps an object warm, with the other entry instances of the region.
type Locator interface {
	Locate(ctx context.Context, peers []locator.Peer, service string, ask placer.Ask) placer.Place
	Owns(peers []locator.Peer, object uint64) bool
}

// Quotas decides on requests by their organisations' quotas.
type Quotas interface {
	Admit(ctx context.Context, organisation string, start, deadline time.Time) quoter.Verdict
	Return(organisation string, v quoter.Verdict)
}

// Dispatcher is the traffic service. Set the exported fields before Start.
type Dispatcher struct {
	// Self is this instance's name.
	Self       string
	Region     string
	Zone       string
	Codec      messenger.Face
	Views      Views
	Sender     Sender
	Locator    Locator
	Quotas     Quotas
	Quarantine *quarantiner.Quarantiner
	Logger     log.Logger
	Metrics    *Metrics

	mu          sync.Mutex
	services    map[string]*serviceState
	routes      routes
	overdue     overdueRequests
	withdrawals withdrawals
	// labelledPlan is the plan whose organisations the metrics name.
	labelledPlan *wire.Plan
	stopping     atomic.Bool
	running      atomic.Int64
	cancel       context.CancelFunc
	done         chan struct{}
}

// Name implements kernel.Service.
func (d *Dispatcher) Name() string { return "carry" }

// Start begins to look after waiting requests.
func (d *Dispatcher) Start(context.Context, kernel.Finder) error {
	d.services = map[string]*serviceState{}
	d.done = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go d.maintain(ctx)
	return nil
}

// Stop waits for the requests in progress.
func (d *Dispatcher) Stop(ctx context.Context) error {
	if d.cancel == nil {
		return nil
	}
	d.stopping.Store(true)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for d.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return &StopTimeoutError{Running: d.running.Load()}
		case <-ticker.C:
		}
	}
	d.cancel()
	<-d.done
	d.Sender.Close()
	return nil
}

// Health implements kernel.Service.
func (d *Dispatcher) Health() error {
	if d.stopping.Load() {
		return &StoppingError{}
	}
	return nil
}

// CloseConnections makes every answer ask its caller for a new connection, while requests are still served.
func (d *Dispatcher) CloseConnections() { d.stopping.Store(true) }

func (d *Dispatcher) maintain(ctx context.Context) {
	defer close(d.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	sweepAt := time.Now().Add(sweepInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		for service, s := range d.allServices() {
			s.tick(now)
			d.balance(now, service, s)
		}
		d.cancelUndelivered(now)
		for _, r := range d.overdue.due(now) {
			d.Views.Observe(r)
		}
		if now.After(sweepAt) {
			sweepAt = now.Add(sweepInterval)
			d.Sender.Sweep(now)
			d.Quarantine.Sweep(now)
		}
	}
}

// balance tells of the objects that move to other targets.
func (d *Dispatcher) balance(now time.Time, service string, s *serviceState) {
	for _, m := range s.balance(now) {
		d.publishPlace(service, m.Object, m.Place)
	}
}

// publishPlace makes an object's new place known.
func (d *Dispatcher) publishPlace(service string, object uint64, place placer.Place) {
	d.Views.Settle(&wire.Host{
		Object: object, Service: service, Target: place.Target, Route: place.Route, Version: place.Version,
	})
	d.Metrics.placed.WithLabelValues(service, place.Reason).Inc()
	d.logPlace(service, object, place)
}

func (d *Dispatcher) logPlace(service string, object uint64, place placer.Place) {
	_ = level.Info(d.Logger).Log("msg", "object placed", "object", formatHash(object), "service", service,
		"target", place.Target, "reason", place.Reason, "version", place.Version)
}

func (d *Dispatcher) allServices() map[string]*serviceState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.services)
}

// ApplyView fits every service's gate to a new view.
func (d *Dispatcher) ApplyView(v *watcher.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.labelledPlan != v.Table.Plan {
		d.labelledPlan = v.Table.Plan
		d.Metrics.labelOrganisations(d.labelledPlan)
	}
	for name := range v.Targets {
		if _, ok := d.services[name]; !ok {
			d.services[name] = newServiceState(d.Region, d.Zone)
		}
	}
	self := slices.IndexFunc(v.Peers, func(p locator.Peer) bool { return p.Name == d.Self })
	now := time.Now()
	for name, s := range d.services {
		d.withdrawals.add(now, s.applyView(now, v.Targets[name], v, d.Locator, max(0, self)))
	}
}

// UpdateHosts takes where objects are kept warm.
func (d *Dispatcher) UpdateHosts(hosts []*wire.Host) {
	now := time.Now()
	for _, h := range hosts {
		d.serviceState(h.GetService()).updateHost(now, h)
	}
}

// UpdateLoads takes how busy targets are.
func (d *Dispatcher) UpdateLoads(loads []aggregator.Reading) {
	now := time.Now()
	for _, s := range d.allServices() {
		s.updateLoads(now, loads)
	}
}

// Assign implements locator.Assigner.
func (d *Dispatcher) Assign(now time.Time, service string, ask placer.Ask) placer.Place {
	place, object := d.serviceState(service).assign(now, ask), placer.ObjectOf(ask.Object)
	switch {
	case place.Settled:
		d.publishPlace(service, object, place)
	case place.Reason != "known":
		d.logPlace(service, object, place)
	}
	return place
}

func (d *Dispatcher) serviceState(service string) *serviceState {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.services[service]
	if !ok {
		s = newServiceState(d.Region, d.Zone)
		d.services[service] = s
	}
	return s
}

// ServeHTTP carries one request and writes its final answer.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.running.Add(1)
	defer d.running.Add(-1)
	j := &job{started: time.Now(), request: r}
	out := d.handle(j)
	if d.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	d.recordResult(j, out)
	d.writeResult(w, j, out)
}

// awaitView returns the newest view. An instance that starts has none for a moment; callers are sent to it by then, and
// their requests wait that long.
func (d *Dispatcher) awaitView(j *job) *watcher.View {
	if view := d.Views.View(); view != nil {
		return view
	}
	ctx, cancel := context.WithDeadline(j.request.Context(), j.started.Add(firstPlanTimeout))
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return d.Views.View()
		case <-ticker.C:
		}
		if view := d.Views.View(); view != nil {
			return view
		}
	}
}

// handle takes a request through its decisions, in order, to its result.
func (d *Dispatcher) handle(j *job) result {
	j.view = d.awaitView(j)
	if j.view == nil {
		return refuse(http.StatusServiceUnavailable, "blind", time.Now().Add(noPlanRetryDelay))
	}
	if out := d.prepare(j); out != nil {
		return *out
	}
	if until := d.Quarantine.Refused(j.started, j.fingerprint); !until.IsZero() {
		return refuse(http.StatusServiceUnavailable, "quarantine", until)
	}
	if out := d.checkQuota(j); out != nil {
		return *out
	}
	out, state := d.dispatch(j)
	if state == unsent || state == notExecuted {
		d.Quotas.Return(j.organisation.GetName(), j.quota)
	}
	return out
}

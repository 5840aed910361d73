// Package carrier forwards callers' requests to targets by the routing plan: it matches a request to a route, chooses
// a target, sends the request and writes the answer.
package carrier

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

	"chervilrail.example/core/bounder"
	"chervilrail.example/core/gauger"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/leaver"
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
	// tickInterval is how often queued requests are re-examined when no other event does so; Stop and awaitView poll at
	// the same interval.
	tickInterval  = 20 * time.Millisecond
	sweepInterval = time.Second
	// firstPlanTimeout bounds the time a request waits for the first plan.
	firstPlanTimeout = 300 * time.Millisecond
	// noPlanRetryDelay is the delay after which a caller should retry when no plan is known yet.
	noPlanRetryDelay = 500 * time.Millisecond
)

// Views returns the latest view of the control state, and sends this instance's reports to the controllers.
type Views interface {
	View() *watcher.View
	ReportLoss(l *wire.Loss)
	ReportHost(h *wire.Host)
	ReportRateLimit(l *wire.RateLimit)
	ReportBackoff(target string, incarnation uint64, until time.Time)
	ReportLeave(target string, incarnation uint64)
	Observe(r gauger.Reading)
}

// Sender sends requests to targets.
type Sender interface {
	Send(ctx context.Context, address netip.AddrPort, r *pooler.Request) (*pooler.Answer, pooler.Outcome, error)
	// CancelUndelivered cancels the requests that were sent to a target before a time and of which the target's TCP
	// stack has acknowledged nothing, and returns their number.
	CancelUndelivered(address netip.AddrPort, before time.Time) int
	CloseIdle(address netip.AddrPort)
	Sweep(now time.Time)
	Close()
}

// Locator finds the target that keeps an object warm, together with the other entry instances of the region.
type Locator interface {
	Locate(ctx context.Context, peers []locator.Peer, service string, ask placer.AssignRequest) placer.Assignment
	Owns(peers []locator.Peer, object uint64) bool
}

// Quotas admits requests by their organisations' quotas.
type Quotas interface {
	Admit(ctx context.Context, organisation string, start, deadline time.Time) quoter.Verdict
	Return(organisation string, v quoter.Verdict)
}

// Carrier is the service that forwards callers' requests to targets. Set the exported fields before Start.
type Carrier struct {
	// Self is this instance's name.
	Self    string
	Region  string
	Zone    string
	Codec   messenger.Codec
	Views   Views
	Sender  Sender
	Locator Locator
	Quotas  Quotas
	// Bodies bounds the bodies of all requests in progress together.
	Bodies     bounder.Bounder
	Quarantine *quarantiner.Quarantiner
	Logger     log.Logger
	Metrics    *Metrics

	// mu guards services and labelledPlan.
	mu          sync.Mutex
	services    map[string]*serviceState
	routes      routes
	overdue     overdueRequests
	withdrawals withdrawals
	unread      unreadHeaders
	// labelledPlan is the plan from which the organisations with a label in the metrics were chosen.
	labelledPlan *wire.Plan
	stopping     atomic.Bool
	departure    *leaver.Leaver
	running      atomic.Int64
	cancel       context.CancelFunc
	done         chan struct{}
}

// Name implements kernel.Service.
func (c *Carrier) Name() string { return "carry" }

// Start starts the periodic maintenance of queued and overdue requests.
func (c *Carrier) Start(context.Context, kernel.Finder) error {
	c.services = map[string]*serviceState{}
	c.departure = leaver.New()
	c.done = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.maintain(ctx)
	return nil
}

// Stop waits for the requests in progress, and returns a *StopTimeoutError if ctx ends first.
func (c *Carrier) Stop(ctx context.Context) error {
	if c.cancel == nil {
		return nil
	}
	c.stopping.Store(true)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for c.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return &StopTimeoutError{Running: c.running.Load()}
		case <-ticker.C:
		}
	}
	c.cancel()
	<-c.done
	c.Sender.Close()
	return nil
}

// Health implements kernel.Service.
func (c *Carrier) Health() error {
	if c.stopping.Load() {
		return &StoppingError{}
	}
	return nil
}

func (c *Carrier) maintain(ctx context.Context) {
	defer close(c.done)
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
		for service, g := range c.allServices() {
			g.tick(now)
			c.balance(now, service, g)
		}
		c.cancelUndelivered(now)
		for _, r := range c.overdue.due(now) {
			c.Views.Observe(r)
		}
		if now.After(sweepAt) {
			sweepAt = now.Add(sweepInterval)
			c.Sender.Sweep(now)
			c.Quarantine.Sweep(now)
		}
	}
}

// balance publishes the new places of the objects that move to other targets.
func (c *Carrier) balance(now time.Time, service string, svc *serviceState) {
	for _, m := range svc.balance(now) {
		c.publishPlace(service, m.Object, m.Assignment)
	}
}

// publishPlace publishes, counts and logs an object's new place.
func (c *Carrier) publishPlace(service string, object uint64, place placer.Assignment) {
	c.Views.ReportHost(&wire.Host{
		Object: object, Service: service, Target: place.Target, Route: place.Route, Version: place.Version,
	})
	c.Metrics.placed.WithLabelValues(service, place.Reason).Inc()
	c.logPlace(service, object, place)
}

func (c *Carrier) logPlace(service string, object uint64, place placer.Assignment) {
	_ = level.Info(c.Logger).Log("msg", "object placed", "object", formatHash(object), "service", service,
		"target", place.Target, "reason", place.Reason, "version", place.Version)
}

func (c *Carrier) allServices() map[string]*serviceState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.services)
}

// ApplyView updates the state of every service to a new view.
func (c *Carrier) ApplyView(v *watcher.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.labelledPlan != v.Table.Plan {
		c.labelledPlan = v.Table.Plan
		c.Metrics.labelOrganisations(c.labelledPlan)
	}
	for name := range v.Targets {
		if _, ok := c.services[name]; !ok {
			c.services[name] = newServiceState(c.Region, c.Zone)
		}
	}
	self := slices.IndexFunc(v.Peers, func(p locator.Peer) bool { return p.Name == c.Self })
	now := time.Now()
	for name, g := range c.services {
		c.withdrawals.add(now, g.applyView(now, v.Targets[name], v, c.Locator, max(0, self)))
	}
}

// UpdateHosts records the targets that keep objects warm, as published by the controllers.
func (c *Carrier) UpdateHosts(hosts []*wire.Host) {
	now := time.Now()
	for _, h := range hosts {
		c.serviceState(h.GetService()).updateHost(now, h)
	}
}

// UpdateLoads records the targets' loads, as published by the controllers.
func (c *Carrier) UpdateLoads(loads []gauger.Reading) {
	now := time.Now()
	for _, g := range c.allServices() {
		g.updateLoads(now, loads)
	}
}

// UpdateBackoffs records the times for which targets want no requests of some entry instance, as published by the
// controllers.
func (c *Carrier) UpdateBackoffs(backoffs []*wire.Backoff) {
	now := time.Now()
	for _, svc := range c.allServices() {
		svc.updateBackoffs(now, backoffs)
	}
}

// Assign implements locator.Assigner.
func (c *Carrier) Assign(now time.Time, service string, ask placer.AssignRequest) placer.Assignment {
	place, object := c.serviceState(service).assign(now, ask), placer.ObjectHash(ask.Object)
	switch {
	case place.Changed:
		c.publishPlace(service, object, place)
	case place.Reason != "known":
		c.logPlace(service, object, place)
	}
	return place
}

func (c *Carrier) serviceState(service string) *serviceState {
	c.mu.Lock()
	defer c.mu.Unlock()
	svc, ok := c.services[service]
	if !ok {
		svc = newServiceState(c.Region, c.Zone)
		c.services[service] = svc
	}
	return svc
}

// ServeHTTP handles one request and writes its final answer.
func (c *Carrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.running.Add(1)
	defer c.running.Add(-1)
	j := &job{started: time.Now(), request: r}
	j.leaving = c.departure.Age(j.started)
	out := c.handle(w, j)
	if j.body != nil {
		defer j.body.Release()
	}
	c.recordResult(j, out)
	c.writeResult(w, j, out)
}

// awaitView returns the latest view. An instance that has just started has none for a moment, but callers may already
// be sent to it; their requests wait for up to firstPlanTimeout. It returns nil if there is still no view then.
func (c *Carrier) awaitView(j *job) *watcher.View {
	if view := c.Views.View(); view != nil {
		return view
	}
	ctx, cancel := context.WithDeadline(j.request.Context(), j.started.Add(firstPlanTimeout))
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return c.Views.View()
		case <-ticker.C:
		}
		if view := c.Views.View(); view != nil {
			return view
		}
	}
}

// handle runs all steps of a request and returns its result: routing, quarantine, quota and the attempts.
func (c *Carrier) handle(w http.ResponseWriter, j *job) result {
	j.view = c.awaitView(j)
	if j.view == nil {
		return refuse(http.StatusServiceUnavailable, "blind", time.Now().Add(noPlanRetryDelay))
	}
	if out := c.prepare(w, j); out != nil {
		return *out
	}
	if until := c.Quarantine.RefusedUntil(j.started, j.fingerprint); !until.IsZero() {
		return refuse(http.StatusServiceUnavailable, "quarantine", until)
	}
	if out := c.checkQuota(j); out != nil {
		return *out
	}
	out, state := c.dispatch(j)
	if state == unsent || state == notExecuted {
		c.Quotas.Return(j.organisation.GetName(), j.quota)
	}
	return out
}

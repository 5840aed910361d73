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
	// tendEvery is how often waiting requests are looked after when nothing else happens.
	tendEvery  = 20 * time.Millisecond
	sweepEvery = time.Second
	// blindWait is how long a request waits for the first plan.
	blindWait = 300 * time.Millisecond
	// blindPause is after what a caller is asked back when no plan is known yet.
	blindPause = 500 * time.Millisecond
)

// Views gives the newest view of the control state.
type Views interface {
	View() *watcher.View
	ReportLoss(l *wire.Loss)
	ReportHost(h *wire.Host)
	Observe(r aggregator.Reading)
}

// Sender carries requests to targets.
type Sender interface {
	Send(ctx context.Context, address netip.AddrPort, r *pooler.Request) (*pooler.Answer, pooler.Ending, error)
	// Recall gives up the requests that were sent to a target before a time and of which its machine has
	// acknowledged nothing, and returns how many.
	Recall(address netip.AddrPort, before time.Time) int
	Retire(address netip.AddrPort)
	Sweep(now time.Time)
	Close()
}

// Locator finds the target that keeps an object warm, with the other entry instances of the region.
type Locator interface {
	Locate(ctx context.Context, peers []locator.Peer, service string, ask placer.AssignRequest) placer.Assignment
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

	mu      sync.Mutex
	gates   map[string]*gate
	routes  routes
	overdue overdue
	recalls recalls
	// counted is the plan whose organisations the metrics name.
	counted  *wire.Plan
	stopping atomic.Bool
	running  atomic.Int64
	cancel   context.CancelFunc
	done     chan struct{}
}

// Name implements kernel.Service.
func (c *Dispatcher) Name() string { return "carry" }

// Start begins to look after waiting requests.
func (c *Dispatcher) Start(context.Context, kernel.Finder) error {
	c.gates = map[string]*gate{}
	c.done = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.tend(ctx)
	return nil
}

// Stop waits for the requests in progress.
func (c *Dispatcher) Stop(ctx context.Context) error {
	if c.cancel == nil {
		return nil
	}
	c.stopping.Store(true)
	ticker := time.NewTicker(tendEvery)
	defer ticker.Stop()
	for c.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return &CutError{Running: c.running.Load()}
		case <-ticker.C:
		}
	}
	c.cancel()
	<-c.done
	c.Sender.Close()
	return nil
}

// Health implements kernel.Service.
func (c *Dispatcher) Health() error {
	if c.stopping.Load() {
		return &StoppingError{}
	}
	return nil
}

// CloseConnections makes every answer ask its caller for a new connection, while requests are still served.
func (c *Dispatcher) CloseConnections() { c.stopping.Store(true) }

func (c *Dispatcher) tend(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(tendEvery)
	defer ticker.Stop()
	sweepAt := time.Now().Add(sweepEvery)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		for service, g := range c.allGates() {
			g.tick(now)
			c.balance(now, service, g)
		}
		c.recall(now)
		for _, r := range c.overdue.due(now) {
			c.Views.Observe(r)
		}
		if now.After(sweepAt) {
			sweepAt = now.Add(sweepEvery)
			c.Sender.Sweep(now)
			c.Quarantine.Sweep(now)
		}
	}
}

// balance tells of the objects that move to other targets.
func (c *Dispatcher) balance(now time.Time, service string, g *gate) {
	for _, m := range g.balance(now) {
		c.settle(service, m.Object, m.Assignment)
	}
}

// settle makes an object's new place known.
func (c *Dispatcher) settle(service string, object uint64, place placer.Assignment) {
	c.Views.ReportHost(&wire.Host{
		Object: object, Service: service, Target: place.Target, Route: place.Route, Version: place.Version,
	})
	c.Metrics.placed.WithLabelValues(service, place.Reason).Inc()
	c.logPlace(service, object, place)
}

func (c *Dispatcher) logPlace(service string, object uint64, place placer.Assignment) {
	_ = level.Info(c.Logger).Log("msg", "object placed", "object", hashName(object), "service", service,
		"target", place.Target, "reason", place.Reason, "version", place.Version)
}

func (c *Dispatcher) allGates() map[string]*gate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.gates)
}

// ApplyView fits every service's gate to a new view.
func (c *Dispatcher) ApplyView(v *watcher.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counted != v.Table.Plan {
		c.counted = v.Table.Plan
		c.Metrics.follow(c.counted)
	}
	for name := range v.Targets {
		if _, ok := c.gates[name]; !ok {
			c.gates[name] = newGate(c.Region, c.Zone)
		}
	}
	self := slices.IndexFunc(v.Peers, func(p locator.Peer) bool { return p.Name == c.Self })
	now := time.Now()
	for name, g := range c.gates {
		c.recalls.add(now, g.follow(now, v.Targets[name], v, c.Locator, max(0, self)))
	}
}

// UpdateHosts takes where objects are kept warm.
func (c *Dispatcher) UpdateHosts(hosts []*wire.Host) {
	now := time.Now()
	for _, h := range hosts {
		c.gate(h.GetService()).learn(now, h)
	}
}

// UpdateLoads takes how busy targets are.
func (c *Dispatcher) UpdateLoads(loads []aggregator.Reading) {
	now := time.Now()
	for _, g := range c.allGates() {
		g.hear(now, loads)
	}
}

// Assign implements locator.Assigner.
func (c *Dispatcher) Assign(now time.Time, service string, ask placer.AssignRequest) placer.Assignment {
	place, object := c.gate(service).assign(now, ask), placer.ObjectHash(ask.Object)
	switch {
	case place.Changed:
		c.settle(service, object, place)
	case place.Reason != "known":
		c.logPlace(service, object, place)
	}
	return place
}

func (c *Dispatcher) gate(service string) *gate {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.gates[service]
	if !ok {
		g = newGate(c.Region, c.Zone)
		c.gates[service] = g
	}
	return g
}

// ServeHTTP carries one request and writes its final answer.
func (c *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.running.Add(1)
	defer c.running.Add(-1)
	j := &job{started: time.Now(), request: r}
	out := c.carry(j)
	if c.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c.report(j, out)
	c.answer(w, j, out)
}

// firstView returns the newest view. An instance that starts has none for a moment; callers are sent to it by then, and
// their requests wait that long.
func (c *Dispatcher) firstView(j *job) *watcher.View {
	if view := c.Views.View(); view != nil {
		return view
	}
	ctx, cancel := context.WithDeadline(j.request.Context(), j.started.Add(blindWait))
	defer cancel()
	ticker := time.NewTicker(tendEvery)
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

// carry takes a request through its decisions, in order, to its result.
func (c *Dispatcher) carry(j *job) result {
	j.view = c.firstView(j)
	if j.view == nil {
		return refuse(http.StatusServiceUnavailable, "blind", time.Now().Add(blindPause))
	}
	if out := c.prepare(j); out != nil {
		return *out
	}
	if until := c.Quarantine.Refused(j.started, j.fingerprint); !until.IsZero() {
		return refuse(http.StatusServiceUnavailable, "quarantine", until)
	}
	if out := c.admit(j); out != nil {
		return *out
	}
	out, end := c.attempts(j)
	if end == unsent || end == unrun {
		c.Quotas.Return(j.organisation.GetName(), j.quota)
	}
	return out
}

// Package forwarder forwards callers' requests to targets: it admits and claims them, chooses a target, sends them and
// relays the response.
package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"chervilrail.example/core/balancer"
	"chervilrail.example/core/bounder"
	"chervilrail.example/core/granter"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/leaver"
	"chervilrail.example/core/listener"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/core/stopper"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/directory"
	"chervilrail.example/entry/internal/refuser"
)

const (
	expireInterval = 20 * time.Millisecond
	sweepInterval  = 30 * time.Second
)

// Views provides the current view of the control state.
type Views interface {
	View() *directory.View
	// Confirmed reports whether the catalogue is confirmed, so that requests may be served.
	Confirmed(now time.Time) bool
	// RetryAt returns when a caller should retry that was refused because the catalogue is not confirmed.
	RetryAt(now time.Time) time.Time
	// SetSpare sets how many more requests this instance could take.
	SetSpare(n int64)
	// RequestHeartbeat asks for larger shares before the next heartbeat is due.
	RequestHeartbeat()
}

// Ledger grants the right to run requests that must not repeat, and stores their outcome.
type Ledger interface {
	Claim(ctx context.Context, c *wire.Claim) (*wire.ClaimResult, error)
	Settle(ctx context.Context, s *wire.Settle) error
}

// LossBroadcaster reports losses to the other entry instances.
type LossBroadcaster interface {
	BroadcastLoss(l *wire.Loss)
}

// Forwarder is the service that forwards requests. Set the exported fields before Start.
type Forwarder struct {
	Instance        string
	Region          string
	Views           Views
	Holder          *granter.Holder
	Ledger          Ledger
	LossBroadcaster LossBroadcaster
	Quarantine      *quarantiner.Quarantiner
	// Bodies bounds the bodies that are buffered completely, all together.
	Bodies  bounder.Bounder
	Logger  log.Logger
	Metrics *Metrics
	// Sample is the sampling rate of the log: one in this many routing decisions is logged.
	Sample int64

	balancer    balancer.Balancer
	connections connections
	ramps       ramps
	mu          sync.Mutex
	admissions  map[string]*admission
	stopping    atomic.Bool
	leaving     *leaver.Leaver
	running     atomic.Int64
	// settling is the number of claims that are being settled.
	settling    atomic.Int64
	reportCount atomic.Int64
	cancel      context.CancelFunc
	done        chan struct{}
}

// Name implements kernel.Service.
func (f *Forwarder) Name() string { return "forward" }

// Start starts the maintenance of the queues. It always returns nil.
func (f *Forwarder) Start(context.Context, kernel.Finder) error {
	f.balancer.Random = rand.Uint64
	f.admissions = map[string]*admission{}
	f.leaving = leaver.New()
	f.connections.holder = f.Holder
	f.connections.region = f.Region
	f.done = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.maintenanceLoop(ctx)
	return nil
}

// Stop refuses new requests and waits for those in progress, so that a planned stop interrupts none, and for their claims
// until the deadline Cut. It returns a StopTimeoutError if requests are still in progress when ctx ends.
func (f *Forwarder) Stop(ctx context.Context) error {
	if f.cancel == nil {
		return nil
	}
	f.stopping.Store(true)
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for f.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return &StopTimeoutError{Running: f.running.Load()}
		case <-ticker.C:
		}
	}
	f.awaitSettled(stopper.FromContext(ctx).Cut)
	f.cancel()
	<-f.done
	f.connections.closeAll()
	return nil
}

// awaitSettled waits until all claims are settled, until a deadline at the latest: repeats of requests whose claims are not
// settled are refused.
func (f *Forwarder) awaitSettled(deadline time.Time) {
	for f.settling.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(expireInterval)
	}
}

// Health implements kernel.Service.
func (f *Forwarder) Health() error {
	if f.stopping.Load() {
		return &StoppingError{}
	}
	return nil
}

// RefuseNew refuses all new requests; those in progress continue.
func (f *Forwarder) RefuseNew() { f.stopping.Store(true) }

// Running returns how many requests are in progress.
func (f *Forwarder) Running() int64 { return f.running.Load() }

// maintenanceLoop refuses queued requests whose time is up, updates the stages of shifts and removes outdated state, at
// regular intervals until ctx ends.
func (f *Forwarder) maintenanceLoop(ctx context.Context) {
	defer close(f.done)
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	sweepAt := time.Now().Add(sweepInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		f.maintain(now)
		if now.After(sweepAt) {
			sweepAt = now.Add(sweepInterval)
			f.Quarantine.Sweep(now)
		}
	}
}

func (f *Forwarder) maintain(now time.Time) {
	view := f.Views.View()
	if view == nil {
		return
	}
	var spare int64
	for _, d := range f.allAdmissions() {
		d.expire(now)
		spare += d.spare()
	}
	f.Views.SetSpare(spare)
	f.ramps.step(now, view.Catalogue.Shifts, f.Logger)
	f.connections.sweep(view)
}

func (f *Forwarder) allAdmissions() []*admission {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*admission, 0, len(f.admissions))
	for _, d := range f.admissions {
		out = append(out, d)
	}
	return out
}

func (f *Forwarder) admission(service string) *admission {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.admissions[service]
	if !ok {
		d = newAdmission()
		f.admissions[service] = d
	}
	return d
}

// ServeHTTP forwards one request to a target and relays the response, or writes a refusal.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	start := time.Now()
	j, refusal := f.prepare(w, r, start)
	// Deferred, because relaying a response that breaks off ends in a panic.
	defer func() { f.report(j, r, start, refusal) }()
	if refusal == nil {
		defer j.body.close()
		refusal = f.forward(w, j)
	}
	if refusal != nil {
		listener.SkipBody(w, r)
		refuser.Write(w, time.Now(), *refusal)
	}
}

// forward takes a prepared request through admission, claim and attempts. It returns nil if it has written the answer,
// or else the refusal to write.
func (f *Forwarder) forward(w http.ResponseWriter, j *job) *refuser.Refusal {
	d := f.admission(j.entry.Service)
	d.applyView(time.Now(), j.view, j.entry.Service)
	t, refusal := f.admit(j, d)
	if refusal != nil {
		return refusal
	}
	defer d.done(t)
	if j.once() {
		return f.forwardOnce(w, j, d)
	}
	result := f.attempts(j, d)
	if result.refusal != nil {
		return result.refusal
	}
	f.relay(w, j, result)
	return nil
}

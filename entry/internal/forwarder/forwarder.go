// Package forwarder carries callers' requests to targets: it admits, claims, places, sends and answers.
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
	"chervilrail.example/core/granter"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/directory"
	"chervilrail.example/entry/internal/refuser"
)

const (
	expireEvery = 20 * time.Millisecond
	sweepEvery  = 30 * time.Second
)

// Views gives the newest view of the control state.
type Views interface {
	View() *directory.View
	Confirmed(now time.Time) bool
	RetryAt(now time.Time) time.Time
	SetSpare(n int64)
	// RequestHeartbeat asks for larger shares before the next heartbeat is due.
	RequestHeartbeat()
}

// Ledger grants the right to run what must not repeat.
type Ledger interface {
	Claim(ctx context.Context, c *wire.Claim) (*wire.ClaimResult, error)
	Settle(ctx context.Context, s *wire.Settle) error
}

// LossBroadcaster passes losses on to the other entry instances.
type LossBroadcaster interface {
	BroadcastLoss(l *wire.Loss)
}

// Forwarder is the traffic service. Set the exported fields before Start.
type Forwarder struct {
	Instance        string
	Region          string
	Views           Views
	Holder          *granter.Holder
	Ledger          Ledger
	LossBroadcaster LossBroadcaster
	Quarantine      *quarantiner.Quarantiner
	Logger          log.Logger
	Metrics         *Metrics
	// Sample logs one in this many routing decisions.
	Sample int64

	balancer balancer.Balancer
	lines    lines
	ramps    ramps
	mu       sync.Mutex
	doors    map[string]*door
	stopping atomic.Bool
	running  atomic.Int64
	decided  atomic.Int64
	cancel   context.CancelFunc
	done     chan struct{}
}

// Name implements kernel.Service.
func (f *Forwarder) Name() string { return "forward" }

// Start begins to keep the queues.
func (f *Forwarder) Start(context.Context, kernel.Finder) error {
	f.balancer.Random = rand.Uint64
	f.doors = map[string]*door{}
	f.lines.holder = f.Holder
	f.lines.region = f.Region
	f.done = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.keep(ctx)
	return nil
}

// Stop waits for the requests in progress: a planned stop cuts nothing.
func (f *Forwarder) Stop(ctx context.Context) error {
	if f.cancel == nil {
		return nil
	}
	f.stopping.Store(true)
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for f.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return &CutError{Running: f.running.Load()}
		case <-ticker.C:
		}
	}
	f.cancel()
	<-f.done
	f.lines.closeAll()
	return nil
}

// Health implements kernel.Service.
func (f *Forwarder) Health() error {
	if f.stopping.Load() {
		return &StoppingError{}
	}
	return nil
}

// RefuseNew makes every new request a refusal, while those in progress go on.
func (f *Forwarder) RefuseNew() { f.stopping.Store(true) }

// Running returns how many requests are in progress.
func (f *Forwarder) Running() int64 { return f.running.Load() }

// keep refuses queued requests whose time is up, and tidies.
func (f *Forwarder) keep(ctx context.Context) {
	defer close(f.done)
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	sweepAt := time.Now().Add(sweepEvery)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		f.tend(now)
		if now.After(sweepAt) {
			sweepAt = now.Add(sweepEvery)
			f.Quarantine.Sweep(now)
		}
	}
}

func (f *Forwarder) tend(now time.Time) {
	view := f.Views.View()
	if view == nil {
		return
	}
	var spare int64
	for _, d := range f.allDoors() {
		d.expire(now)
		spare += d.spare()
	}
	f.Views.SetSpare(spare)
	f.ramps.step(now, view.Catalogue.Shifts, f.Logger)
	f.lines.sweep(view)
}

func (f *Forwarder) allDoors() []*door {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*door, 0, len(f.doors))
	for _, d := range f.doors {
		out = append(out, d)
	}
	return out
}

func (f *Forwarder) door(service string) *door {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.doors[service]
	if !ok {
		d = newDoor()
		f.doors[service] = d
	}
	return d
}

// ServeHTTP carries one request. Every return before the last has written a final answer.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	start := time.Now()
	j, refusal := f.prepare(w, r, start)
	// Deferred, because an answer that breaks off ends this call by a panic.
	defer func() { f.report(j, r, start, refusal) }()
	if refusal == nil {
		defer j.body.close()
		refusal = f.carry(w, j)
	}
	if refusal != nil {
		refuser.Write(w, time.Now(), *refusal)
	}
}

// carry takes a prepared request through admission, claim and attempts.
func (f *Forwarder) carry(w http.ResponseWriter, j *job) *refuser.Refusal {
	d := f.door(j.entry.Service)
	d.follow(time.Now(), j.view, j.entry.Service)
	t, refusal := f.admit(j, d)
	if refusal != nil {
		return refusal
	}
	defer d.done(t)
	if j.once() {
		return f.carryOnce(w, j, d)
	}
	result := f.attempts(j, d)
	if result.refusal != nil {
		return result.refusal
	}
	f.relay(w, j, result)
	return nil
}

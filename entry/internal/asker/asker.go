// Package asker is the service that decides on requests by their organisations' quotas, and asks the controllers for the
// parts of quotas that this instance needs.
package asker

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/quoter"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
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
	// minPatience is how long a request waits for a part at least: two calls. It waits longer while it can be on time, and for
	// patienceParts of its time at most.
	minPatience   = 300 * time.Millisecond
	patienceParts = 4
)

// Controllers names the controller to ask, false if none is known.
type Controllers interface {
	Controller() (netip.AddrPort, bool)
}

// Asker is the service. Set the exported fields before Start.
type Asker struct {
	Self        *wire.QuotaHolder
	Controllers Controllers
	Dialer      *dialer.Dialer
	Logger      log.Logger

	mu     sync.Mutex
	holder quoter.Holder
	// answered is closed and replaced when an answer has come.
	answered chan struct{}
	wake     chan struct{}
	failing  bool
	// gather is how long needs are gathered before the next call: as long as the last one took.
	gather time.Duration

	client *http.Client
	cancel context.CancelFunc
	done   chan struct{}
}

// Name implements kernel.Service.
func (a *Asker) Name() string { return "ask" }

// Health implements kernel.Service.
func (a *Asker) Health() error { return nil }

// Start begins to ask.
func (a *Asker) Start(context.Context, kernel.Finder) error {
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
func (a *Asker) Stop(context.Context) error {
	if a.cancel != nil {
		a.cancel()
		<-a.done
		a.client.CloseIdleConnections()
	}
	return nil
}

// Follow takes the organisations of the plan in force.
func (a *Asker) Follow(now time.Time, plan *wire.Plan) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.Follow(now, plan)
	a.nudge()
}

func (a *Asker) nudge() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Admit decides on a request of an organisation, after a moment where its quota has room that this instance does not hold.
// Start is until when the request has to start to be on time.
func (a *Asker) Admit(ctx context.Context, organisation string, start, deadline time.Time) quoter.Verdict {
	now := time.Now()
	v, answered := a.take(now, organisation, quoter.Verdict{})
	if v.Outcome != quoter.Lacking && v.Outcome != quoter.Unknown {
		return v
	}
	timer := time.NewTimer(min(max(minPatience, start.Sub(now)), deadline.Sub(now)/patienceParts))
	defer timer.Stop()
	for v.Outcome == quoter.Lacking || v.Outcome == quoter.Unknown {
		select {
		case <-answered:
		case <-timer.C:
			return v
		case <-ctx.Done():
			return v
		}
		v, answered = a.take(time.Now(), organisation, v)
	}
	return v
}

func (a *Asker) take(now time.Time, organisation string, last quoter.Verdict) (quoter.Verdict, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.holder.Take(now, organisation, last)
	if v.Outcome == quoter.Lacking || v.Outcome == quoter.Unknown {
		a.nudge()
	}
	return v, a.answered
}

// Return takes back a request that was granted and has not run.
func (a *Asker) Return(organisation string, v quoter.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.Return(time.Now(), organisation, v)
}

func (a *Asker) run(ctx context.Context) {
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
func (a *Asker) due() bool {
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
func (a *Asker) ask(ctx context.Context) ending {
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
func (a *Asker) note(at netip.AddrPort, err error) {
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

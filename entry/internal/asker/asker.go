// Package asker is the service that decides on requests by their organisations' quotas, and asks the controllers for the
// parts of quotas that this instance needs.
package asker

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
	// again is after what another instance is asked again.
	again = 20 * time.Millisecond
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

// Peers finds the entry instances of the region that hold parts for all, and asks them.
type Peers interface {
	Owner(peers []locator.Peer, object uint64) locator.Peer
	Ask(ctx context.Context, owner locator.Peer, r *wire.SpendRequest) (*wire.SpendResponse, error)
}

// Asker is the service. Set the exported fields before Start.
type Asker struct {
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

// Follow takes the organisations of the plan in force and the entry instances that share their quotas.
func (a *Asker) Follow(now time.Time, v *watcher.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.plan != v.Table.Plan {
		a.plan = v.Table.Plan
		a.holder.Follow(now, a.plan)
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
func keyOf(organisation string) uint64 { return placer.ObjectOf("organisation/" + organisation) }

func (a *Asker) nudge() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Admit decides on a request of an organisation, after a moment where its quota has room that is not held here. Start is
// until when the request has to start to be on time.
func (a *Asker) Admit(ctx context.Context, organisation string, start, deadline time.Time) quoter.Verdict {
	now := time.Now()
	until := now.Add(min(max(minPatience, start.Sub(now)), deadline.Sub(now)/patienceParts))
	for {
		owner := a.owner(organisation)
		if owner.Name == a.Self.GetName() {
			return a.admit(ctx, organisation, until)
		}
		v, err := a.borrow(ctx, owner, organisation)
		if err == nil && v.Outcome != quoter.Lacking && v.Outcome != quoter.Unknown {
			return v
		}
		// One that did not answer is left out, and another takes its place. One that lacks parts has waited already; one that
		// does not know the organisation yet says so at once.
		select {
		case <-ctx.Done():
			return v
		case <-time.After(again):
		}
		if !time.Now().Before(until) {
			return v
		}
	}
}

// owner is the instance that holds an organisation's part for requests that come here.
func (a *Asker) owner(organisation string) locator.Peer {
	a.mu.Lock()
	pooled, near := a.holder.Pooled(organisation), a.near
	a.mu.Unlock()
	if !pooled {
		return locator.Peer{Name: a.Self.GetName()}
	}
	return a.Peers.Owner(near, keyOf(organisation))
}

// borrow has another instance count a request.
func (a *Asker) borrow(ctx context.Context, owner locator.Peer, organisation string) (quoter.Verdict, error) {
	r, err := a.Peers.Ask(ctx, owner, &wire.SpendRequest{Organisation: organisation})
	if err != nil {
		return quoter.Verdict{Outcome: quoter.Unknown, Peer: owner.Name}, err
	}
	now := time.Now()
	out := quoter.Verdict{
		Outcome: outcomes[r.GetOutcome()], Retry: now.Add(time.Duration(r.GetRetry())), Held: r.GetHeld(), Used: r.GetUsed(),
		Since: now.Add(-time.Duration(r.GetAge())), Peer: owner.Name,
	}
	if out.Outcome == quoter.Granted {
		out.At = now
	}
	return out, nil
}

// outcomes are the names of outcomes between instances.
var outcomes = map[wire.QuotaOutcome]quoter.Outcome{
	wire.QuotaOutcome_QUOTA_GRANTED:  quoter.Granted,
	wire.QuotaOutcome_QUOTA_LACKING:  quoter.Lacking,
	wire.QuotaOutcome_QUOTA_EXCEEDED: quoter.Exceeded,
	wire.QuotaOutcome_QUOTA_UNKNOWN:  quoter.Unknown,
}

// Spend implements locator.Spender.
func (a *Asker) Spend(ctx context.Context, r *wire.SpendRequest) *wire.SpendResponse {
	now := time.Now()
	if r.GetReturned() {
		a.giveBack(now, r.GetOrganisation(), quoter.Verdict{At: now.Add(-time.Duration(r.GetAge()))})
		return &wire.SpendResponse{}
	}
	a.mu.Lock()
	limited := a.holder.Limited(r.GetOrganisation())
	a.mu.Unlock()
	if !limited {
		// The asker has a newer plan, or an older one.
		return &wire.SpendResponse{Outcome: wire.QuotaOutcome_QUOTA_UNKNOWN}
	}
	v := a.admit(ctx, r.GetOrganisation(), now.Add(locator.SpendWithin))
	out := &wire.SpendResponse{Held: v.Held, Used: v.Used}
	if !v.Since.IsZero() {
		out.Age = int64(now.Sub(v.Since))
	}
	if !v.Retry.IsZero() {
		out.Retry = int64(max(0, time.Until(v.Retry)))
	}
	for name, outcome := range outcomes {
		if outcome == v.Outcome {
			out.Outcome = name
		}
	}
	return out
}

// admit decides by the part that is held here, and waits for more until a time.
func (a *Asker) admit(ctx context.Context, organisation string, until time.Time) quoter.Verdict {
	v, answered := a.take(time.Now(), organisation, quoter.Verdict{})
	if v.Outcome != quoter.Lacking && v.Outcome != quoter.Unknown {
		return v
	}
	timer := time.NewTimer(time.Until(until))
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
	if v.At.IsZero() {
		return
	}
	if v.Peer == "" {
		a.giveBack(time.Now(), organisation, v)
		return
	}
	a.mu.Lock()
	near := a.near
	a.mu.Unlock()
	if at := slices.IndexFunc(near, func(p locator.Peer) bool { return p.Name == v.Peer }); at >= 0 {
		// If the call fails, the request counts until it has left the window.
		go func() {
			_, err := a.Peers.Ask(context.Background(), near[at], &wire.SpendRequest{
				Organisation: organisation, Returned: true, Age: int64(time.Since(v.At)),
			})
			if err != nil {
				_ = level.Debug(a.Logger).Log("msg", "request not taken back", "organisation", organisation, "peer", v.Peer, "err", err)
			}
		}()
	}
}

func (a *Asker) giveBack(now time.Time, organisation string, v quoter.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.Return(now, organisation, v)
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

package enforcer

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/quoter"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/locator"
)

const (
	// again is after what another instance is asked again.
	again = 20 * time.Millisecond
	// minPatience is how long a request waits for a part at least: two calls. It waits longer while it can be on time, and for
	// patienceParts of its time at most.
	minPatience   = 300 * time.Millisecond
	patienceParts = 4
)

// Admit decides on a request of an organisation, after a moment where its quota has room that is not held here. Start is
// until when the request has to start to be on time.
func (a *Enforcer) Admit(ctx context.Context, organisation string, start, deadline time.Time) quoter.Verdict {
	now := time.Now()
	until := now.Add(min(max(minPatience, start.Sub(now)), deadline.Sub(now)/patienceParts))
	v := quoter.Verdict{Outcome: quoter.Unknown}
	for {
		owner := a.owner(organisation)
		if owner.Name == a.Self.GetName() {
			return a.admit(ctx, organisation, until)
		}
		due, free := a.turns.take(time.Now(), organisation)
		if free {
			v = a.borrow(ctx, owner, organisation)
			if v.Outcome != quoter.Lacking && v.Outcome != quoter.Unknown {
				return v
			}
			// One that did not answer is left out, and another takes its place. One that lacks parts has waited already;
			// one that does not know the organisation yet says so at once.
			due = time.Now().Add(again)
		}
		select {
		case <-ctx.Done():
			return v
		case <-time.After(min(time.Until(due), time.Until(until))):
		}
		if !time.Now().Before(until) {
			return v
		}
	}
}

// owner is the instance that holds an organisation's part for requests that come here.
func (a *Enforcer) owner(organisation string) locator.Peer {
	a.mu.Lock()
	pooled, near := a.holder.Pooled(organisation), a.near
	a.mu.Unlock()
	if !pooled {
		return locator.Peer{Name: a.Self.GetName()}
	}
	return a.Peers.Owner(near, keyOf(organisation))
}

// borrow has another instance count a request.
func (a *Enforcer) borrow(ctx context.Context, owner locator.Peer, organisation string) quoter.Verdict {
	asked := time.Now()
	r, err := a.Peers.Ask(ctx, owner, &wire.SpendRequest{Organisation: organisation})
	now := time.Now()
	if err != nil {
		a.turns.done(now, asked, organisation, false)
		return quoter.Verdict{Outcome: quoter.Unknown, Peer: owner.Name}
	}
	out := quoter.Verdict{
		Outcome: quoter.Outcome(slices.Index(outcomes, r.GetOutcome())), RetryAt: now.Add(time.Duration(r.GetRetry())), Held: r.GetHeld(), Used: r.GetUsed(),
		Since: now.Add(-time.Duration(r.GetAge())), Peer: owner.Name,
	}
	a.turns.done(now, asked, organisation, out.Outcome != quoter.Unknown)
	if out.Outcome == quoter.Granted {
		out.At = now
	}
	return out
}

// outcomes are what outcomes are called between instances.
var outcomes = []wire.QuotaOutcome{
	quoter.Granted:  wire.QuotaOutcome_QUOTA_GRANTED,
	quoter.Lacking:  wire.QuotaOutcome_QUOTA_LACKING,
	quoter.Exceeded: wire.QuotaOutcome_QUOTA_EXCEEDED,
	quoter.Unknown:  wire.QuotaOutcome_QUOTA_UNKNOWN,
}

// Spend implements locator.Spender.
func (a *Enforcer) Spend(ctx context.Context, r *wire.SpendRequest) *wire.SpendResponse {
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
	v := a.admit(ctx, r.GetOrganisation(), now.Add(locator.MaxSpendWait))
	out := &wire.SpendResponse{Outcome: outcomes[v.Outcome], Held: v.Held, Used: v.Used, Age: int64(v.Age(now))}
	if !v.RetryAt.IsZero() {
		out.Retry = int64(max(0, time.Until(v.RetryAt)))
	}
	return out
}

// admit decides by the part that is held here, and waits for more until a time.
func (a *Enforcer) admit(ctx context.Context, organisation string, until time.Time) quoter.Verdict {
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

func (a *Enforcer) take(now time.Time, organisation string, last quoter.Verdict) (quoter.Verdict, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.holder.Take(now, organisation, last)
	if v.Outcome == quoter.Lacking || v.Outcome == quoter.Unknown {
		a.nudge()
	}
	return v, a.answered
}

// Return takes back a request that was granted and has not run.
func (a *Enforcer) Return(organisation string, v quoter.Verdict) {
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

func (a *Enforcer) giveBack(now time.Time, organisation string, v quoter.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.Return(now, organisation, v)
}

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
	// peerRetryDelay is the pause before another instance is asked again.
	peerRetryDelay = 20 * time.Millisecond
	// minWait is the least time that a request waits for a part: two calls. It waits longer if it can still be on time,
	// up to the fraction 1/waitDivisor of the time to its deadline, which takes precedence.
	minWait     = 300 * time.Millisecond
	waitDivisor = 4
)

// Admit decides on a request of an organisation. It waits a moment if the quota may have room that is not held here.
// The request is on time if it starts before start.
func (a *Enforcer) Admit(ctx context.Context, organisation string, start, deadline time.Time) quoter.Verdict {
	now := time.Now()
	until := now.Add(min(max(minWait, start.Sub(now)), deadline.Sub(now)/waitDivisor))
	v := quoter.Verdict{Outcome: quoter.Unknown}
	for {
		owner := a.owner(organisation)
		if owner.Name == a.Self.GetName() {
			return a.admitHere(ctx, organisation, until)
		}
		retryAt, allowed := a.backoffs.allow(time.Now(), organisation)
		if allowed {
			v = a.askOwner(ctx, owner, organisation)
			if v.Outcome != quoter.Lacking && v.Outcome != quoter.Unknown {
				return v
			}
			// A short pause suffices for an instance that did not answer, which is excluded and replaced by another one,
			// and for one that lacks parts, which has waited already. One that does not know the organisation yet answers
			// at once.
			retryAt = time.Now().Add(peerRetryDelay)
		}
		select {
		case <-ctx.Done():
			return v
		case <-time.After(min(time.Until(retryAt), time.Until(until))):
		}
		if !time.Now().Before(until) {
			return v
		}
	}
}

// owner returns the instance that holds an organisation's part for requests that arrive here.
func (a *Enforcer) owner(organisation string) locator.Peer {
	a.mu.Lock()
	pooled, regionPeers := a.holder.Pooled(organisation), a.regionPeers
	a.mu.Unlock()
	if !pooled {
		return locator.Peer{Name: a.Self.GetName()}
	}
	return a.Peers.Owner(regionPeers, keyOf(organisation))
}

// askOwner has another instance count a request.
func (a *Enforcer) askOwner(ctx context.Context, owner locator.Peer, organisation string) quoter.Verdict {
	calledAt := time.Now()
	r, err := a.Peers.SpendAt(ctx, owner, &wire.SpendRequest{Organisation: organisation})
	now := time.Now()
	if err != nil {
		a.backoffs.record(now, calledAt, organisation, false)
		return quoter.Verdict{Outcome: quoter.Unknown, Peer: owner.Name}
	}
	out := quoter.Verdict{
		Outcome: quoter.Outcome(slices.Index(outcomes, r.GetOutcome())), RetryAt: now.Add(time.Duration(r.GetRetry())),
		Held: r.GetHeld(), Used: r.GetUsed(), RenewedAt: now.Add(-time.Duration(r.GetAge())), Peer: owner.Name,
	}
	a.backoffs.record(now, calledAt, organisation, out.Outcome != quoter.Unknown)
	if out.Outcome == quoter.Granted {
		out.CountedAt = now
	}
	return out
}

// outcomes maps outcomes to their values on the wire.
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
		a.returnHere(now, r.GetOrganisation(), quoter.Verdict{CountedAt: now.Add(-time.Duration(r.GetAge()))})
		return &wire.SpendResponse{}
	}
	a.mu.Lock()
	limited := a.holder.Limited(r.GetOrganisation())
	a.mu.Unlock()
	if !limited {
		// The calling instance has a newer or an older plan.
		return &wire.SpendResponse{Outcome: wire.QuotaOutcome_QUOTA_UNKNOWN}
	}
	v := a.admitHere(ctx, r.GetOrganisation(), now.Add(locator.MaxSpendWait))
	out := &wire.SpendResponse{Outcome: outcomes[v.Outcome], Held: v.Held, Used: v.Used, Age: int64(v.Age(now))}
	if !v.RetryAt.IsZero() {
		out.Retry = int64(max(0, time.Until(v.RetryAt)))
	}
	return out
}

// admitHere decides by the part that is held here, and waits until the given time for a larger one.
func (a *Enforcer) admitHere(ctx context.Context, organisation string, until time.Time) quoter.Verdict {
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
		a.wakeUp()
	}
	return v, a.answered
}

// Return reverts the count of a request that was granted and has not run.
func (a *Enforcer) Return(organisation string, v quoter.Verdict) {
	if v.CountedAt.IsZero() {
		return
	}
	if v.Peer == "" {
		a.returnHere(time.Now(), organisation, v)
		return
	}
	a.mu.Lock()
	regionPeers := a.regionPeers
	a.mu.Unlock()
	if at := slices.IndexFunc(regionPeers, func(p locator.Peer) bool { return p.Name == v.Peer }); at >= 0 {
		// If the call fails, the request counts until it has left the window.
		go func() {
			_, err := a.Peers.SpendAt(context.Background(), regionPeers[at], &wire.SpendRequest{
				Organisation: organisation, Returned: true, Age: int64(time.Since(v.CountedAt)),
			})
			if err != nil {
				_ = level.Debug(a.Logger).Log("msg", "request not returned to its quota", "organisation", organisation,
					"peer", v.Peer, "err", err)
			}
		}()
	}
}

func (a *Enforcer) returnHere(now time.Time, organisation string, v quoter.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.Return(now, organisation, v)
}

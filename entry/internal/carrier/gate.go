package carrier

import (
	"context"
	"slices"
	"sync"
	"time"

	"chervilrail.example/core/budgeter"
	"chervilrail.example/core/gauger"
	"chervilrail.example/core/messenger"
	"chervilrail.example/core/placer"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/locator"
	"chervilrail.example/entry/internal/watcher"
)

// regionRoundTrip is the assumed round-trip time to another region.
const regionRoundTrip = 70 * time.Millisecond

// serviceState is the state of one service: its queue and slots, its retry budget and where its objects are kept warm.
type serviceState struct {
	mu        sync.Mutex
	placement placer.Placer
	budget    budgeter.Budget
	// hints are the targets to which objects' requests were last sent, by object.
	hints map[uint64]hint
	// peers are the region's entry instances, each of which assigns a part of the objects; this one is among them.
	peers []locator.Peer
}

// hint is the target to which an object's requests were last sent. Until confirmedUntil, the instance that assigns the
// object need not be asked again.
type hint struct {
	target         string
	confirmedUntil time.Time
}

// confirmationTTL is how long the answer of the instance that assigns an object is cached once the object is warm. Each
// call to it costs traffic between availability zones; an object that moved meanwhile is still warm at its old target,
// too.
const confirmationTTL = 3 * time.Second

// maxHints limits the hints. Without a hint, an instance that takes over the assignment of an object may place it anew.
const maxHints = 16384

// recordTarget records the target to which a request for an object is sent.
func (g *serviceState) recordTarget(object, target string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if object == "" {
		return
	}
	key := placer.ObjectHash(object)
	if g.hints[key].target != target {
		g.setHint(key, hint{target: target})
	}
}

func (g *serviceState) setHint(object uint64, h hint) {
	if g.hints == nil || len(g.hints) >= maxHints {
		g.hints = map[uint64]hint{}
	}
	g.hints[object] = h
}

// cachePlace caches the answer of the instance that assigns an object, unless the object is still cold there.
func (g *serviceState) cachePlace(now time.Time, object string, place placer.Assignment) {
	if place.Target == "" || place.FirstRun || now.Before(place.WarmAt) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setHint(placer.ObjectHash(object), hint{place.Target, now.Add(confirmationTTL)})
}

// knownPlace returns an object's place if no other instance has to be asked: if it was assigned here, published by the
// controllers, or received in a recent answer.
func (g *serviceState) knownPlace(now time.Time, object string, regions []string) (placer.Assignment, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := placer.ObjectHash(object)
	if place, ok := g.placement.Lookup(now, key, regions); ok {
		return place, true
	}
	found := g.hints[key]
	if !now.Before(found.confirmedUntil) || !g.placement.Eligible(now, found.target, regions) {
		return placer.Assignment{}, false
	}
	return placer.Assignment{Target: found.target, Reason: "recent"}, true
}

// updateHost records an object's place as published by the controllers.
func (g *serviceState) updateHost(now time.Time, h *wire.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placement.RecordAssignment(now, h.GetObject(), h.GetTarget(), h.GetRoute(), h.GetVersion())
}

// updateLoads records the loads of targets as published by the controllers.
func (g *serviceState) updateLoads(now time.Time, loads []gauger.Reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placement.ObserveLoads(now, loads)
}

// balance returns the objects that move to other targets.
func (g *serviceState) balance(now time.Time) []placer.Move {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placement.Balance(now)
}

// lastTarget returns the target to which a request for an object was last sent; empty if there is none.
func (g *serviceState) lastTarget(object string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hints[placer.ObjectHash(object)].target
}

func newServiceState(region, zone string) *serviceState {
	return &serviceState{placement: placer.Placer{Region: region, Zone: zone, InterRegionRTT: regionRoundTrip}}
}

// applyView updates the service's targets and peers to a view; self is the index of this instance among the peers. It
// returns the targets that left the view or restarted with requests still in flight.
func (g *serviceState) applyView(
	now time.Time, specs []placer.Spec, v *watcher.View, objectLocator Locator, self int,
) []placer.Spec {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placement.Position = v.Position
	withdrawn := g.placement.Update(now, specs, v.InstanceCount)
	if g.peers == nil || !slices.Equal(g.peers, v.Peers) {
		g.peers = v.Peers
		g.placement.SetOwnership(func(object uint64) bool { return objectLocator.Owns(v.Peers, object) }, self, len(v.Peers))
	}
	deliverDecisions(g.placement.Tick(now))
	return withdrawn
}

// deliverDecisions sends the decisions to the waiting requests.
func deliverDecisions(placed []placer.Placed) {
	for _, p := range placed {
		p.Ticket.Decided <- p.Decision
	}
}

func (g *serviceState) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	deliverDecisions(g.placement.Tick(now))
}

// admit waits for the decision on a ticket; false means that the request's context ended first.
func (g *serviceState) admit(ctx context.Context, t *placer.Ticket) (placer.Decision, bool) {
	g.mu.Lock()
	decision, decided := g.placement.Offer(time.Now(), t)
	g.mu.Unlock()
	if decided {
		return decision, true
	}
	select {
	case decision = <-t.Decided:
		return decision, true
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.placement.Cancel(t) {
		return placer.Decision{}, false
	}
	// The ticket was decided at the same moment: if it got a slot, the slot is released.
	if decision = <-t.Decided; decision.Target != nil {
		deliverDecisions(g.placement.Done(time.Now(), decision.Target, placer.Outcome{}))
	}
	return placer.Decision{}, false
}

func (g *serviceState) done(t *placer.Target, o placer.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	deliverDecisions(g.placement.Done(time.Now(), t, o))
}

// recordLimit records what a target's answer to a request sent at a given time says of its limit. It returns the limit
// and true if others have to learn of a change.
func (g *serviceState) recordLimit(
	now, sent time.Time, t *placer.Target, named *messenger.Limit,
) (placer.RateLimit, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placement.RecordLimit(now, sent, t, named)
}

// recordBackoff records until when a target wants no requests. It returns whether that is longer than known before, and
// whether others have to learn of it.
func (g *serviceState) recordBackoff(now time.Time, t *placer.Target, until time.Time) (extended, report bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.placement.RecordBackoff(now, t, until) {
		return false, false
	}
	return true, g.placement.ReportsBackoff(now, t)
}

// recordLeaving records that a target leaves, and reports whether that was not known.
func (g *serviceState) recordLeaving(now time.Time, t *placer.Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placement.RecordLeaving(now, t)
}

// updateBackoffs records the times for which targets want no requests of other instances.
func (g *serviceState) updateBackoffs(now time.Time, backoffs []*wire.Backoff) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range backoffs {
		g.placement.AvoidUntil(now, b.GetTarget(), b.GetIncarnation(), now.Add(time.Duration(b.GetRemaining())))
	}
}

// withhold reports why a request that was decided for a target must not be sent there any more, empty if it may.
func (g *serviceState) withhold(t *placer.Target) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placement.Withhold(time.Now(), t)
}

// assign returns the place of an object that this instance assigns.
func (g *serviceState) assign(now time.Time, ask placer.AssignRequest) placer.Assignment {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ask.Hint == "" {
		ask.Hint = g.hints[placer.ObjectHash(ask.Object)].target
	}
	return g.placement.Assign(now, ask)
}

// countRequest counts a request for the service in its retry budget.
func (g *serviceState) countRequest(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.RecordRequest(now)
}

// spendRetry charges one retry to the service's retry budget; instances is the number of entry instances that share the
// budget's slack. It returns false if the budget does not allow the retry.
func (g *serviceState) spendRetry(now time.Time, instances int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Spend(now, instances)
}

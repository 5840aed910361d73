package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"chervilrail.example/core/aggregator"
	"chervilrail.example/core/budgeter"
	"chervilrail.example/core/placer"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/locator"
	"chervilrail.example/entry/internal/watcher"
)

// regionRoundTrip is taken for the way to another region and back.
const regionRoundTrip = 70 * time.Millisecond

// serviceState guards one service: its queue and slots, and its retry budget.
type serviceState struct {
	mu        sync.Mutex
	placement placer.Placer
	budget    budgeter.Budget
	// hints are the targets that objects' requests were last sent to.
	hints map[uint64]hint
	// peers are the instances of the region that answer for objects, this one among them.
	peers []locator.Peer
}

// hint is where an object was last; until confirmed it need not be asked for again.
type hint struct {
	target         string
	confirmedUntil time.Time
}

// confirmationTTL is how long an answer of the instance that answers for an object holds where the object is warm. Each
// question costs bytes between zones; an object that moved meanwhile is warm at its old target, too.
const confirmationTTL = 3 * time.Second

// maxHints bounds the hints; without one, an object's next instance to answer for it may place it anew.
const maxHints = 16384

// recordTarget notes where a request for an object is sent.
func (g *serviceState) recordTarget(object, target string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if object == "" {
		return
	}
	key := placer.ObjectOf(object)
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

// cachePlace notes the answer of the instance that answers for an object.
func (g *serviceState) cachePlace(now time.Time, object string, place placer.Place) {
	if place.Target == "" || place.First || now.Before(place.WarmAt) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setHint(placer.ObjectOf(object), hint{place.Target, now.Add(confirmationTTL)})
}

// knownPlace is an object's place where that needs no question: as decided here, as told by the controllers, or as answered
// lately.
func (g *serviceState) knownPlace(now time.Time, object string, regions []string) (placer.Place, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := placer.ObjectOf(object)
	if place, ok := g.placement.Known(now, key, regions); ok {
		return place, true
	}
	found := g.hints[key]
	if !now.Before(found.confirmedUntil) || !g.placement.Holds(now, found.target, regions) {
		return placer.Place{}, false
	}
	return placer.Place{Target: found.target, Reason: "recent"}, true
}

// updateHost takes an object's place as the controllers tell it.
func (g *serviceState) updateHost(now time.Time, h *wire.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placement.Learn(now, h.GetObject(), h.GetTarget(), h.GetRoute(), h.GetVersion())
}

// updateLoads takes the loads of targets as the controllers tell them.
func (g *serviceState) updateLoads(now time.Time, loads []aggregator.Reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placement.Hear(now, loads)
}

// balance returns the objects that move.
func (g *serviceState) balance(now time.Time) []placer.Move {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placement.Balance(now)
}

// lastTarget is where a request for an object was last sent, or empty.
func (g *serviceState) lastTarget(object string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hints[placer.ObjectOf(object)].target
}

func newServiceState(region, zone string) *serviceState {
	return &serviceState{placement: placer.Placer{Region: region, Zone: zone, Far: regionRoundTrip}}
}

// applyView fits the gate to a view, and returns the targets that get no more requests while some are there.
func (g *serviceState) applyView(now time.Time, specs []placer.Spec, v *watcher.View, peers Locator, self int) []placer.Spec {
	g.mu.Lock()
	defer g.mu.Unlock()
	withdrawn := g.placement.Update(now, specs, v.Entries)
	if g.peers == nil || !slices.Equal(g.peers, v.Peers) {
		g.peers = v.Peers
		g.placement.Own(func(object uint64) bool { return peers.Owns(v.Peers, object) }, self, len(v.Peers))
	}
	deliverDecisions(g.placement.Tick(now))
	return withdrawn
}

// deliverDecisions tells waiting requests what was decided.
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

// admit waits for the decision on a ticket; false means that the caller left first.
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
	// It was placed at the same moment: the slot goes back.
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

// assign says where a request for an object goes that this instance answers for.
func (g *serviceState) assign(now time.Time, ask placer.Ask) placer.Place {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ask.Hint == "" {
		ask.Hint = g.hints[placer.ObjectOf(ask.Object)].target
	}
	return g.placement.Assign(now, ask)
}

// countRequest notes a request that wants the service.
func (g *serviceState) countRequest(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Ask(now)
}

// spendRetry pays for a further arrival at the service's targets, if the budget allows it.
func (g *serviceState) spendRetry(now time.Time, entries int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Spend(now, entries)
}

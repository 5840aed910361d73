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

// far is taken for the way to another region and back.
const far = 70 * time.Millisecond

// gate guards one service: its queue and slots, and its retry budget.
type gate struct {
	mu     sync.Mutex
	place  placer.Placer
	budget budgeter.Budget
	// hints are the targets that objects' requests were last sent to.
	hints map[uint64]hint
	// peers are the instances of the region that answer for objects, this one among them.
	peers []locator.Peer
}

// hint is where an object was last; until confirmed it need not be asked for again.
type hint struct {
	target    string
	confirmed time.Time
}

// confirmation is how long an answer of the instance that answers for an object holds where the object is warm. Each
// question costs bytes between zones; an object that moved meanwhile is warm at its old target, too.
const confirmation = 3 * time.Second

// maxHints bounds the hints; without one, an object's next instance to answer for it may place it anew.
const maxHints = 16384

// saw notes where a request for an object is sent.
func (g *gate) saw(object, target string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if object == "" {
		return
	}
	key := placer.ObjectHash(object)
	if g.hints[key].target != target {
		g.note(key, hint{target: target})
	}
}

func (g *gate) note(object uint64, h hint) {
	if g.hints == nil || len(g.hints) >= maxHints {
		g.hints = map[uint64]hint{}
	}
	g.hints[object] = h
}

// confirm notes the answer of the instance that answers for an object.
func (g *gate) confirm(now time.Time, object string, place placer.Assignment) {
	if place.Target == "" || place.FirstRun || now.Before(place.WarmAt) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.note(placer.ObjectHash(object), hint{place.Target, now.Add(confirmation)})
}

// known is an object's place where that needs no question: as decided here, as told by the controllers, or as answered
// lately.
func (g *gate) known(now time.Time, object string, regions []string) (placer.Assignment, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := placer.ObjectHash(object)
	if place, ok := g.place.Lookup(now, key, regions); ok {
		return place, true
	}
	found := g.hints[key]
	if !now.Before(found.confirmed) || !g.place.Eligible(now, found.target, regions) {
		return placer.Assignment{}, false
	}
	return placer.Assignment{Target: found.target, Reason: "recent"}, true
}

// learn takes an object's place as the controllers tell it.
func (g *gate) learn(now time.Time, h *wire.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.place.RecordAssignment(now, h.GetObject(), h.GetTarget(), h.GetRoute(), h.GetVersion())
}

// hear takes the loads of targets as the controllers tell them.
func (g *gate) hear(now time.Time, loads []aggregator.Reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.place.ObserveLoads(now, loads)
}

// balance returns the objects that move.
func (g *gate) balance(now time.Time) []placer.Move {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.place.Balance(now)
}

// seen is where a request for an object was last sent, or empty.
func (g *gate) seen(object string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hints[placer.ObjectHash(object)].target
}

func newGate(region, zone string) *gate {
	return &gate{place: placer.Placer{Region: region, Zone: zone, InterRegionRTT: far}}
}

// follow fits the gate to a view, and returns the targets that get no more requests while some are there.
func (g *gate) follow(now time.Time, specs []placer.Spec, v *watcher.View, peers Locator, self int) []placer.Spec {
	g.mu.Lock()
	defer g.mu.Unlock()
	withdrawn := g.place.Update(now, specs, v.InstanceCount)
	if g.peers == nil || !slices.Equal(g.peers, v.Peers) {
		g.peers = v.Peers
		g.place.SetOwnership(func(object uint64) bool { return peers.Owns(v.Peers, object) }, self, len(v.Peers))
	}
	announce(g.place.Tick(now))
	return withdrawn
}

// announce tells waiting requests what was decided.
func announce(placed []placer.Placed) {
	for _, p := range placed {
		p.Ticket.Decided <- p.Decision
	}
}

func (g *gate) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	announce(g.place.Tick(now))
}

// admit waits for the decision on a ticket; false means that the caller left first.
func (g *gate) admit(ctx context.Context, t *placer.Ticket) (placer.Decision, bool) {
	g.mu.Lock()
	decision, decided := g.place.Offer(time.Now(), t)
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
	if g.place.Cancel(t) {
		return placer.Decision{}, false
	}
	// It was placed at the same moment: the slot goes back.
	if decision = <-t.Decided; decision.Target != nil {
		announce(g.place.Done(time.Now(), decision.Target, placer.Outcome{}))
	}
	return placer.Decision{}, false
}

func (g *gate) done(t *placer.Target, o placer.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	announce(g.place.Done(time.Now(), t, o))
}

// assign says where a request for an object goes that this instance answers for.
func (g *gate) assign(now time.Time, ask placer.AssignRequest) placer.Assignment {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ask.Hint == "" {
		ask.Hint = g.hints[placer.ObjectHash(ask.Object)].target
	}
	return g.place.Assign(now, ask)
}

// ask notes a request that wants the service.
func (g *gate) ask(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Ask(now)
}

// again pays for a further arrival at the service's targets, if the budget allows it.
func (g *gate) again(now time.Time, entries int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Spend(now, entries)
}

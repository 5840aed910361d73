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
	mu     sync.Mutex
	placer placer.Placer
	budget budgeter.Budget
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
func (s *serviceState) recordTarget(object, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if object == "" {
		return
	}
	key := placer.ObjectOf(object)
	if s.hints[key].target != target {
		s.setHint(key, hint{target: target})
	}
}

func (s *serviceState) setHint(object uint64, h hint) {
	if s.hints == nil || len(s.hints) >= maxHints {
		s.hints = map[uint64]hint{}
	}
	s.hints[object] = h
}

// cachePlace notes the answer of the instance that answers for an object.
func (s *serviceState) cachePlace(now time.Time, object string, place placer.Place) {
	if place.Target == "" || place.First || now.Before(place.WarmAt) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setHint(placer.ObjectOf(object), hint{place.Target, now.Add(confirmationTTL)})
}

// knownPlace is an object's place where that needs no question: as decided here, as told by the controllers, or as answered
// lately.
func (s *serviceState) knownPlace(now time.Time, object string, regions []string) (placer.Place, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := placer.ObjectOf(object)
	if place, ok := s.placer.Known(now, key, regions); ok {
		return place, true
	}
	found := s.hints[key]
	if !now.Before(found.confirmedUntil) || !s.placer.Holds(now, found.target, regions) {
		return placer.Place{}, false
	}
	return placer.Place{Target: found.target, Reason: "recent"}, true
}

// updateHost takes an object's place as the controllers tell it.
func (s *serviceState) updateHost(now time.Time, h *wire.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placer.Learn(now, h.GetObject(), h.GetTarget(), h.GetRoute(), h.GetVersion())
}

// updateLoads takes the loads of targets as the controllers tell them.
func (s *serviceState) updateLoads(now time.Time, loads []aggregator.Reading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placer.Hear(now, loads)
}

// balance returns the objects that move.
func (s *serviceState) balance(now time.Time) []placer.Move {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Balance(now)
}

// lastTarget is where a request for an object was last sent, or empty.
func (s *serviceState) lastTarget(object string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hints[placer.ObjectOf(object)].target
}

func newServiceState(region, zone string) *serviceState {
	return &serviceState{placer: placer.Placer{Region: region, Zone: zone, Far: regionRoundTrip}}
}

// applyView fits the gate to a view, and returns the targets that get no more requests while some are there.
func (s *serviceState) applyView(now time.Time, specs []placer.Spec, v *watcher.View, peers Locator, self int) []placer.Spec {
	s.mu.Lock()
	defer s.mu.Unlock()
	withdrawn := s.placer.Update(now, specs, v.Entries)
	if s.peers == nil || !slices.Equal(s.peers, v.Peers) {
		s.peers = v.Peers
		s.placer.Own(func(object uint64) bool { return peers.Owns(v.Peers, object) }, self, len(v.Peers))
	}
	deliverDecisions(s.placer.Tick(now))
	return withdrawn
}

// deliverDecisions tells waiting requests what was decided.
func deliverDecisions(placed []placer.Placed) {
	for _, p := range placed {
		p.Ticket.Decided <- p.Decision
	}
}

func (s *serviceState) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	deliverDecisions(s.placer.Tick(now))
}

// admit waits for the decision on a ticket; false means that the caller left first.
func (s *serviceState) admit(ctx context.Context, t *placer.Ticket) (placer.Decision, bool) {
	s.mu.Lock()
	decision, decided := s.placer.Offer(time.Now(), t)
	s.mu.Unlock()
	if decided {
		return decision, true
	}
	select {
	case decision = <-t.Decided:
		return decision, true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.placer.Cancel(t) {
		return placer.Decision{}, false
	}
	// It was placed at the same moment: the slot goes back.
	if decision = <-t.Decided; decision.Target != nil {
		deliverDecisions(s.placer.Done(time.Now(), decision.Target, placer.Outcome{}))
	}
	return placer.Decision{}, false
}

func (s *serviceState) done(t *placer.Target, o placer.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	deliverDecisions(s.placer.Done(time.Now(), t, o))
}

// assign says where a request for an object goes that this instance answers for.
func (s *serviceState) assign(now time.Time, ask placer.Ask) placer.Place {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ask.Hint == "" {
		ask.Hint = s.hints[placer.ObjectOf(ask.Object)].target
	}
	return s.placer.Assign(now, ask)
}

// countRequest notes a request that wants the service.
func (s *serviceState) countRequest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Ask(now)
}

// spendRetry pays for a further arrival at the service's targets, if the budget allows it.
func (s *serviceState) spendRetry(now time.Time, entries int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Spend(now, entries)
}

package dispatcher

import (
	"sync"
	"time"

	"chervilrail.example/core/planner"
	"chervilrail.example/core/wire"
)

const (
	// workSmoothing is the weight of the newest service time of a route: an eighth.
	workSmoothing = 8
	// coldSmoothing is the weight of a shorter cold time; coldLeap bounds what one slow target can add.
	coldSmoothing = 64
	coldLeap      = 3
	// warmParts: a service time under two thirds of a cold one shows that the target had the object warm.
	warmParts = 2.0 / 3
	// firstWarm is the service time at a warm target over that at a cold one, before both have been seen.
	firstWarm = 0.5
)

// routes remembers what belongs to a route across plans.
type routes struct {
	mu    sync.Mutex
	known map[string]*routeState
}

type routeState struct {
	splitter planner.Splitter
	// warm and cold are the smoothed service times, zero before the first.
	warm time.Duration
	cold time.Duration
}

func (s *routes) state(r *wire.Route) *routeState {
	if s.known == nil {
		s.known = map[string]*routeState{}
	}
	state, ok := s.known[r.GetName()]
	if !ok {
		state = &routeState{}
		s.known[r.GetName()] = state
	}
	return state
}

// next names the service of a route's next request.
func (s *routes) next(r *wire.Route) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state(r).splitter.Next(r)
}

// worked notes a service time. Whether the target had the object warm is told by the time itself: what was expected
// may be wrong, and the two would run into each other.
func (s *routes) worked(r *wire.Route, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(r)
	if state.cold == 0 {
		state.cold = took
		return
	}
	if state.isWarm(took) {
		state.warm = smooth(state.warm, took, workSmoothing)
		return
	}
	// A first time that was a warm one would hide the difference for good if both directions counted alike: longer
	// times pull the cold one up until the warm ones fall below its part.
	took = min(took, coldLeap*state.cold)
	if took > state.cold {
		state.cold = smooth(state.cold, took, workSmoothing)
		return
	}
	state.cold = smooth(state.cold, took, coldSmoothing)
}

func (s *routeState) isWarm(took time.Duration) bool {
	return float64(took) < warmParts*float64(s.cold)
}

func smooth(old, took, parts time.Duration) time.Duration {
	if old == 0 {
		return took
	}
	return old + (took-old)/parts
}

// usual returns what a request of the route was expected to take, given that it took this long.
func (s *routes) usual(r *wire.Route, took time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(r)
	if state.isWarm(took) && state.warm > 0 {
		return state.warm
	}
	return state.cold
}

// expected returns the service times at a warm and at a cold target.
func (s *routes) expected(r *wire.Route) (warm, cold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(r)
	cold = state.cold
	if cold == 0 {
		cold = time.Duration(r.GetAim()) / 2
	}
	warm = state.warm
	if warm == 0 {
		warm = time.Duration(firstWarm * float64(cold))
	}
	return warm, cold
}

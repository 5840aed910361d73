package dispatcher

import (
	"sync"
	"time"

	"chervilrail.example/core/planner"
	"chervilrail.example/core/wire"
)

const (
	// serviceTimeSmoothing is the weight of the newest service time of a route: an eighth.
	serviceTimeSmoothing = 8
	// coldDecreaseSmoothing is the weight of a shorter cold time; coldLeap bounds what one slow target can add.
	coldDecreaseSmoothing = 64
	maxColdIncrease       = 3
	// warmThreshold: a service time under two thirds of a cold one shows that the target had the object warm.
	warmThreshold = 2.0 / 3
	// initialWarmRatio is the service time at a warm target over that at a cold one, before both have been seen.
	initialWarmRatio = 0.5
)

// routes remembers what belongs to a route across plans.
type routes struct {
	mu     sync.Mutex
	byName map[string]*routeState
}

type routeState struct {
	splitter planner.Splitter
	// warm and cold are the smoothed service times, zero before the first.
	warm time.Duration
	cold time.Duration
}

func (s *routes) state(r *wire.Route) *routeState {
	if s.byName == nil {
		s.byName = map[string]*routeState{}
	}
	state, ok := s.byName[r.GetName()]
	if !ok {
		state = &routeState{}
		s.byName[r.GetName()] = state
	}
	return state
}

// nextService names the service of a route's nextService request.
func (s *routes) nextService(r *wire.Route) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state(r).splitter.Next(r)
}

// recordServiceTime notes a service time. Whether the target had the object warm is told by the time itself: what was expected
// may be wrong, and the two would run into each other.
func (s *routes) recordServiceTime(r *wire.Route, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(r)
	if state.cold == 0 {
		state.cold = took
		return
	}
	if state.isWarm(took) {
		state.warm = smooth(state.warm, took, serviceTimeSmoothing)
		return
	}
	// A first time that was a warm one would hide the difference for good if both directions counted alike: longer
	// times pull the cold one up until the warm ones fall below its part.
	took = min(took, maxColdIncrease*state.cold)
	if took > state.cold {
		state.cold = smooth(state.cold, took, serviceTimeSmoothing)
		return
	}
	state.cold = smooth(state.cold, took, coldDecreaseSmoothing)
}

func (s *routeState) isWarm(took time.Duration) bool {
	return float64(took) < warmThreshold*float64(s.cold)
}

func smooth(old, took, divisor time.Duration) time.Duration {
	if old == 0 {
		return took
	}
	return old + (took-old)/divisor
}

// expectedLike returns what a request of the route was expected to take, given that it took this long.
func (s *routes) expectedLike(r *wire.Route, took time.Duration) time.Duration {
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
		warm = time.Duration(initialWarmRatio * float64(cold))
	}
	return warm, cold
}

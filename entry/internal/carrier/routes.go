package carrier

import (
	"sync"
	"time"

	"chervilrail.example/core/planner"
	"chervilrail.example/core/wire"
)

const (
	// serviceTimeSmoothing: the newest service time of a route has the weight 1/serviceTimeSmoothing.
	serviceTimeSmoothing = 8
	// coldDecreaseSmoothing is the same for a cold time below the mean.
	// maxColdIncrease: a cold time counts as at most this multiple of the mean, which bounds the effect of one slow
	// target.
	coldDecreaseSmoothing = 64
	maxColdIncrease       = 3
	// warmThreshold: a service time below this fraction of the cold one shows that the target had the object warm.
	warmThreshold = 2.0 / 3
	// initialWarmRatio is the assumed ratio of the warm to the cold service time before a warm one has been observed.
	initialWarmRatio = 0.5
)

// routes keeps the state of each route across plans.
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

// nextService returns the service of a route's next request.
func (s *routes) nextService(r *wire.Route) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state(r).splitter.Next(r)
}

// recordServiceTime records a service time. It counts as warm or cold by its length alone: the expectation may be
// wrong, and with it the warm and cold means would converge.
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
	// If the first time recorded as cold was a warm one, weighting both directions alike would hide the difference for
	// good. Longer times therefore weigh more: they raise the cold mean until warm times fall below warmThreshold.
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

// meanServiceTime returns the mean service time of the route's warm or cold requests, whichever a request that took
// this long counts as.
func (s *routes) meanServiceTime(r *wire.Route, took time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(r)
	if state.isWarm(took) && state.warm > 0 {
		return state.warm
	}
	return state.cold
}

// expected returns the expected service times at a warm and at a cold target.
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

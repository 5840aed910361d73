package forwarder

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/shifter"
)

const (
	percent = 100
	// smoothing gives the newest response time a weight of one eighth.
	smoothing = 8
)

// ramps holds the stage of every shift and the measurements of every region.
type ramps struct {
	mu      sync.Mutex
	byName  map[string]*ramp
	regions map[string]*regionMeasurements
}

type ramp struct {
	shifter.Ramp
	// answers and failures are the new region's counts at the start of the stage.
	answers  int64
	failures int64
}

type regionMeasurements struct {
	// at is the time of the newest answer or failure.
	at       time.Time
	answers  int64
	failures int64
	// smoothed is the smoothed response time.
	smoothed time.Duration
}

func (r *ramps) region(name string) *regionMeasurements {
	if r.regions == nil {
		r.regions = map[string]*regionMeasurements{}
	}
	m, ok := r.regions[name]
	if !ok {
		m = &regionMeasurements{}
		r.regions[name] = m
	}
	return m
}

func (r *ramps) addAnswer(region string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.region(region)
	m.at = time.Now()
	m.answers++
	m.smoothed += (took - m.smoothed) / smoothing
}

func (r *ramps) addFailure(region string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.region(region)
	m.at = time.Now()
	m.answers++
	m.failures++
}

// chosen decides at random whether a request belongs to the percentage that a shift has reached.
func (r *ramps) chosen(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.byName[name]
	return ok && rand.Int64N(percent) < o.Percent()
}

// step updates the stage of every shift from the newest measurements.
func (r *ramps) step(now time.Time, shifts []cataloguer.Shift, logger log.Logger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := map[string]*ramp{}
	for _, s := range shifts {
		o, ok := r.byName[s.Name]
		if !ok {
			o = &ramp{}
		}
		o.FinalPercent, o.Stages = s.Part, s.Stages
		destination, source := r.region(s.To), r.region(s.From)
		changed := o.Step(now, shifter.Measurement{
			At:         destination.at,
			Answers:    destination.answers - o.answers,
			Failures:   destination.failures - o.failures,
			NewLatency: destination.smoothed,
			OldLatency: source.smoothed,
		})
		if changed {
			o.answers, o.failures = destination.answers, destination.failures
			_ = level.Info(logger).Log("msg", "shift stage", "shift", s.Name, "stage", o.Stage(), "percent", o.Percent())
		}
		kept[s.Name] = o
	}
	r.byName = kept
}

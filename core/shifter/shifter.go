// Package shifter ramps a move of traffic from one region to another by stages. Each stage waits for a
// fresh and good measure of the new region; a bad one goes a stage back, a stale one changes nothing.
package shifter

import "time"

const (
	// MaxMeasurementAge is how old a measure may be and still count.
	MaxMeasurementAge = 5 * time.Second
	// MinStageTime is how long a stage lasts at least.
	MinStageTime = 5 * time.Second
	// minSamples is how many answers a measure must rest on.
	minSamples = 10
	// maxFailurePercent of failures in the new region takes a stage back.
	maxFailurePercent = 5
	// maxLatencyRatio: answers there may take up to this many times as long as here.
	maxLatencyRatio = 3
	percent         = 100
)

// Measurement compares the two regions over the last stage.
type Measurement struct {
	At       time.Time
	Answers  int64
	Failures int64
	// NewLatency and Here are smoothed answer times of the new and the old region.
	NewLatency time.Duration
	OldLatency time.Duration
}

// Ramp is the state of one shift. Set FinalPercent and Stages before use.
type Ramp struct {
	// FinalPercent is the percentage to reach.
	FinalPercent int64
	// Stages is over how many steps.
	Stages int64

	stage int64
	// stageEnd is when the current stage may end.
	stageEnd time.Time
}

// Percent returns the percentage to move at the moment.
func (r *Ramp) Percent() int64 { return r.FinalPercent * r.stage / r.Stages }

// Stage returns the current stage, 0 before the first.
func (r *Ramp) Stage() int64 { return r.stage }

// Step looks at the newest measure and may change the stage; it reports whether it did.
func (r *Ramp) Step(now time.Time, m Measurement) bool {
	if r.stage == 0 {
		return r.setStage(now, 1)
	}
	fresh := now.Sub(m.At) < MaxMeasurementAge && m.Answers >= minSamples
	if !fresh {
		// Measurements that stopped are no news: going on could bury the region, going back would
		// throw traffic around for nothing.
		return false
	}
	if m.unhealthy() {
		return r.setStage(now, max(1, r.stage-1))
	}
	if now.Before(r.stageEnd) || r.stage >= r.Stages {
		return false
	}
	return r.setStage(now, r.stage+1)
}

func (r *Ramp) setStage(now time.Time, stage int64) bool {
	changed := stage != r.stage
	r.stage = stage
	r.stageEnd = now.Add(MinStageTime)
	return changed
}

func (m Measurement) unhealthy() bool {
	if m.Failures*percent > m.Answers*maxFailurePercent {
		return true
	}
	return m.OldLatency > 0 && m.NewLatency > maxLatencyRatio*m.OldLatency
}

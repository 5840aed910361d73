// Package shifter moves traffic from one region to another in stages. Each further stage requires a recent, healthy
// measurement of the new region. An unhealthy measurement moves one stage back; a stale one changes nothing.
package shifter

import "time"

const (
	// MaxMeasurementAge is the age from which a measurement is stale.
	MaxMeasurementAge = 5 * time.Second
	// MinStageTime is the minimum time before the next higher stage.
	MinStageTime = 5 * time.Second
	// minSamples is the minimum number of answers in a measurement.
	minSamples = 10
	// maxFailurePercent is the percentage of failures above which the new region is unhealthy.
	maxFailurePercent = 5
	// maxLatencyRatio is the ratio of the new region's to the old region's answer time above which the new region is
	// unhealthy.
	maxLatencyRatio = 3
	percent         = 100
)

// Measurement compares the two regions over the last stage.
type Measurement struct {
	At       time.Time
	Answers  int64
	Failures int64
	// NewLatency and OldLatency are the smoothed answer times of the new and the old region.
	NewLatency time.Duration
	OldLatency time.Duration
}

// Ramp is the state of one shift. Set FinalPercent and Stages before use.
type Ramp struct {
	// FinalPercent is the percentage of traffic to reach.
	FinalPercent int64
	// Stages is the number of stages, above 0.
	Stages int64

	stage int64
	// stageEnd is the earliest time of the next higher stage.
	stageEnd time.Time
}

// Percent returns the percentage of traffic to move in the current stage.
func (r *Ramp) Percent() int64 { return r.FinalPercent * r.stage / r.Stages }

// Stage returns the current stage; 0 before the first.
func (r *Ramp) Stage() int64 { return r.stage }

// Step evaluates the latest measurement and may change the stage; it reports whether it did.
func (r *Ramp) Step(now time.Time, m Measurement) bool {
	if r.stage == 0 {
		return r.setStage(now, 1)
	}
	fresh := now.Sub(m.At) < MaxMeasurementAge && m.Answers >= minSamples
	if !fresh {
		// Missing measurements say nothing about the new region: the next stage could overload it, and going back would
		// move traffic for no reason.
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

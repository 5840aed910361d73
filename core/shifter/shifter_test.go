package shifter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func healthy(at time.Time) Measurement {
	return Measurement{At: at, Answers: 100, NewLatency: 20 * time.Millisecond, OldLatency: 10 * time.Millisecond}
}

func TestRampMovesThroughStages(t *testing.T) {
	r := Ramp{FinalPercent: 50, Stages: 5}
	now := start
	t.Run("starts with the first stage", func(t *testing.T) {
		is := is.New(t)
		is.True(r.Step(now, Measurement{}))
		is.Equal(r.Percent(), int64(10))
	})
	t.Run("waits for the minimum stage time", func(t *testing.T) {
		is.New(t).True(!r.Step(now.Add(MinStageTime/2), healthy(now.Add(MinStageTime/2))))
	})
	t.Run("advances after a healthy measurement", func(t *testing.T) {
		is := is.New(t)
		now = now.Add(MinStageTime)
		is.True(r.Step(now, healthy(now)))
		is.Equal(r.Percent(), int64(20))
	})
	t.Run("goes back after an unhealthy measurement", func(t *testing.T) {
		is := is.New(t)
		unhealthy := healthy(now)
		unhealthy.Failures = 20
		is.True(r.Step(now, unhealthy))
		is.Equal(r.Percent(), int64(10))
	})
	t.Run("ends at the final percentage", func(t *testing.T) {
		is := is.New(t)
		for range 10 {
			now = now.Add(MinStageTime)
			r.Step(now, healthy(now))
		}
		is.Equal(r.Percent(), int64(50))
	})
}

// Measurements stop in the middle of a move. Without them, the next stage could overload cold caches, and going back
// would move all the traffic again for no reason.
func TestStaleMeasurementChangesNothing(t *testing.T) {
	is := is.New(t)
	r := Ramp{FinalPercent: 100, Stages: 4}
	r.Step(start, Measurement{})
	now := start.Add(time.Minute)
	is.True(!r.Step(now, healthy(now.Add(-MaxMeasurementAge))))
	unhealthy := healthy(now.Add(-MaxMeasurementAge))
	unhealthy.Failures = 100
	is.True(!r.Step(now, unhealthy))
	is.Equal(r.Percent(), int64(25))
}

func TestSlowRegionGoesBack(t *testing.T) {
	is := is.New(t)
	r := Ramp{FinalPercent: 100, Stages: 4}
	r.Step(start, Measurement{})
	now := start.Add(MinStageTime)
	r.Step(now, healthy(now))
	slow := healthy(now)
	slow.NewLatency = time.Second
	is.True(r.Step(now, slow))
	is.Equal(r.Stage(), int64(1))
}

package cli

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/stopper"
	"chervilrail.example/entry/internal/config"
)

const (
	// grace is the time from SIGTERM to SIGKILL, and slack how long an answer may take from its target to its caller.
	grace = 6 * time.Second
	slack = time.Second / 5
)

// Guards against a planned stop that cuts a request whose target has ended its work before the last sixth of the grace,
// while the answer is on its way.
func TestStopLeavesTimeForAnswersOfTargets(t *testing.T) {
	settings := &config.Config{StopTimeout: stopper.TimeoutFor(grace), AnswerMaxAge: stopper.ServeFor(grace)}
	began := time.Now()
	is.New(t).True(!stopOf(settings).From(began).Cut.Before(began.Add(grace*5/6 + slack)))
}

package cli

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/kernel"
)

const (
	// grace is the time from SIGTERM to SIGKILL, and slack how long an answer may take from its target to its caller.
	grace = 6 * time.Second
	slack = time.Second / 5
)

// Guards against a planned stop that cuts a request whose target has ended its work before the last sixth of the grace,
// while the answer is on its way.
func TestStopLeavesTimeForAnswersOfTargets(t *testing.T) {
	is.New(t).True(kernel.StopTimeoutFor(grace)-closeReserve >= grace*5/6+slack)
}

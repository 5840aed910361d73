package cli

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// grace is the time from SIGTERM to SIGKILL, and slack how long an answer may take from its target to its caller.
	grace = 6 * time.Second
	slack = time.Second / 5
)

// deployedPatience returns the time for a planned stop of the deployed settings.
func deployedPatience(t *testing.T) time.Duration {
	t.Helper()
	is := is.New(t)
	settings, err := os.ReadFile("../../../deploy/entry.ini")
	is.NoErr(err)
	_, rest, ok := strings.Cut(string(settings), "\npatience = ")
	is.True(ok)
	value, _, _ := strings.Cut(rest, "\n")
	patience, err := time.ParseDuration(value)
	is.NoErr(err)
	return patience
}

// Guards against a planned stop that cuts a request whose target has ended its work before the last sixth of the grace,
// while the answer is on its way.
func TestStopLeavesTimeForAnswersOfTargets(t *testing.T) {
	is.New(t).True(deployedPatience(t)-closeReserve >= grace*5/6+slack)
}

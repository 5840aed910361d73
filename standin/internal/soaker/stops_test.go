package soaker

import (
	"errors"
	"os/exec"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a check that takes any end of a process for a planned one: only where requests may be cut may its status
// tell so, and SIGTERM itself may end only a process that does not handle it yet.
func TestEndsThatAreNotPlannedAreSeen(t *testing.T) {
	for _, c := range []struct {
		script  string
		cut     bool
		age     time.Duration
		planned bool
	}{
		{"exit 1", true, time.Hour, true},
		{"exit 1", false, time.Hour, false},
		{"exit 2", true, time.Hour, false},
		{"kill -TERM $$", false, startSpread / 2, true},
		{"kill -TERM $$", true, 2 * startSpread, false},
		{"kill -KILL $$", true, startSpread / 2, false},
	} {
		t.Run(c.script, func(t *testing.T) {
			err := exec.Command("sh", "-c", c.script).Run()
			is.New(t).Equal(endsAsPlanned(err, c.cut, c.age), c.planned)
		})
	}
	is.New(t).True(!endsAsPlanned(errors.New("timed out"), true, 0))
}

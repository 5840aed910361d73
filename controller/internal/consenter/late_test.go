package consenter

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// Guards against a halt of the consensus that no line shows.
func TestLatePassIsLogged(t *testing.T) {
	for name, c := range map[string]struct {
		took  time.Duration
		lines int
	}{
		"on time": {0, 0},
		"late":    {time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			(&Consenter{Logger: log.NewLogfmtLogger(&out)}).logLatePass(time.Now().Add(-c.took))
			is.Equal(strings.Count(out.String(), `msg="control goroutine late" took=1`), c.lines)
		})
	}
}

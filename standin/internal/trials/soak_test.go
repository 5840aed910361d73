package trials

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/standin/internal/soaker"
)

// soakRuns are the runs that every change has to pass: the first few seeds, and seeds that have violated a guarantee.
var soakRuns = []struct {
	seed   uint64
	length time.Duration
}{{1, 6 * time.Second}, {2, 6 * time.Second}, {103, 14 * time.Second}, {202, 12 * time.Second}, {215, 12 * time.Second}}

// Processes are killed, frozen, stopped and restarted while targets are killed or leave, connections fail and the plan
// changes, according to a seed. Guards against wrong or incomplete answers, answers that a planned stop discards, requests
// that run although they were answered as not run, requests that run twice, and lost changes.
func TestSoak(t *testing.T) {
	for _, run := range soakRuns {
		t.Run(fmt.Sprint(run.seed), func(t *testing.T) {
			is := is.New(t)
			absolute, err := filepath.Abs(programs)
			is.NoErr(err)
			s := &soaker.Soak{
				Seed: run.seed, Length: run.length, Programs: absolute, Folder: t.TempDir(), Net: byte(firstNet + usedNets.Add(1)),
				Print: func(line string) { t.Log(line) },
			}
			violations, err := s.Run(context.Background())
			is.NoErr(err)
			for _, line := range violations {
				t.Error(line)
			}
			sent, complete := s.Counts()
			t.Logf("%d of %d requests served, %d lags of plans checked", complete, sent, s.LagsChecked())
			is.True(sent > 100)
		})
	}
}

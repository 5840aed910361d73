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

// formerGrace is the grace period of the runs whose seeds violated a guarantee with it.
const formerGrace = 6 * time.Second

// soakRuns are the runs that every change has to pass: the first few seeds, and seeds that have violated a guarantee. The
// grace period is drawn from the seed if it is zero.
var soakRuns = []struct {
	seed          uint64
	length, grace time.Duration
}{
	{1, 6 * time.Second, formerGrace},
	{2, 6 * time.Second, formerGrace},
	{103, 14 * time.Second, formerGrace},
	{202, 12 * time.Second, formerGrace},
	{215, 12 * time.Second, formerGrace},
	{301, 5 * time.Second, 0},
	{305, 5 * time.Second, 0},
}

// Guards against wrong or incomplete answers, answers that a planned stop discards, long requests that it breaks off, requests
// that run although they were answered as not run, requests that run twice, and lost changes, while processes are killed,
// frozen, stopped and restarted, targets are killed or leave, connections fail and the plan changes, according to a seed.
func TestSoak(t *testing.T) {
	for _, run := range soakRuns {
		t.Run(fmt.Sprint(run.seed), func(t *testing.T) {
			is := is.New(t)
			absolute, err := filepath.Abs(programs)
			is.NoErr(err)
			s := &soaker.Soak{
				Seed: run.seed, Length: run.length, Grace: run.grace, Programs: absolute, Folder: t.TempDir(),
				Net: byte(firstNet + usedNets.Add(1)), Print: func(line string) { t.Log(line) },
			}
			violations, err := s.Run(context.Background())
			is.NoErr(err)
			for _, line := range violations {
				t.Error(line)
			}
			sent, complete := s.Counts()
			t.Logf("%d of %d requests served, %d lags of plans checked", complete, sent, s.LagsChecked())
			is.True(sent > 100)
			late, served := s.LongWork()
			t.Logf("%d of %d long requests to an instance that left served", served, late)
			is.True(late > 20)
		})
	}
}

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

// soakSeeds are the seeds that every change has to pass: the first few, and every seed that has violated a guarantee.
var soakSeeds = []uint64{1, 2}

// Processes are killed, frozen, stopped and restarted while targets are killed or leave, connections fail and the plan
// changes, according to a seed. Guards against wrong or incomplete answers, requests that run although they were
// answered as not run, requests that run twice, and lost changes.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			absolute, err := filepath.Abs(programs)
			is.NoErr(err)
			s := &soaker.Soak{
				Seed: seed, Length: 6 * time.Second, Programs: absolute, Folder: t.TempDir(), Net: byte(firstNet + usedNets.Add(1)),
				Print: func(line string) { t.Log(line) },
			}
			violations, err := s.Run(context.Background())
			is.NoErr(err)
			for _, line := range violations {
				t.Error(line)
			}
			sent, complete := s.Counts()
			t.Logf("%d of %d requests served", complete, sent)
			is.True(sent > 100)
		})
	}
}

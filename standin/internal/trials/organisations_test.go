package trials

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/platform/speaker"
)

const (
	acmeKey  = "s3cret-of-acme"
	otherKey = "s3cret-of-other"
	// quotaRate and quotaBurst are the quota of acme, quotaWindow the default window in which requests are counted.
	quotaRate   = 20
	quotaBurst  = 10
	quotaWindow = 5 * time.Second
)

func (f *fleet) putOrganisations(t *testing.T, version int, list ...speaker.Organisation) {
	t.Helper()
	plan, err := speaker.KeyedPlan(version, version-1, service, list...)
	is.New(t).NoErr(err)
	until(t, "organisations are in force", func() bool {
		return f.operator.Put(context.Background(), plan) == http.StatusOK
	})
}

// loadWithKey sends requests with a key from several callers. The returned function stops them and returns all answers.
func (f *fleet) loadWithKey(callers int, secret string) (stop func() []speaker.Answer) {
	return f.loadWith(callers, func(c *speaker.Client) { c.Secret = secret })
}

func (f *fleet) starts() []speaker.Start {
	var out []speaker.Start
	for _, target := range f.targets {
		out = append(out, target.Starts()...)
	}
	slices.SortFunc(out, func(a, b speaker.Start) int { return a.At.Compare(b.At) })
	return out
}

// maxRunsInWindow returns the highest number of runs of an organisation in any window of quotaWindow.
func maxRunsInWindow(starts []speaker.Start, organisation string) int {
	var at []time.Time
	maxRuns, first := 0, 0
	for _, s := range starts {
		if s.Organisation != organisation {
			continue
		}
		at = append(at, s.At)
		for s.At.Sub(at[first]) >= quotaWindow {
			first++
		}
		maxRuns = max(maxRuns, len(at)-first)
	}
	return maxRuns
}

// Guards against quotas that are exceeded or used by less than 80% while controllers and entry instances are killed
// under load, and against keys that appear in logs, reach targets, or are accepted after they were withdrawn.
func TestOrganisationsOnThePlatform(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 3, 6)
	acme := speaker.Organisation{Name: "acme", Keys: []string{acmeKey}, Rate: quotaRate, Burst: quotaBurst}
	other := speaker.Organisation{Name: "other", Keys: []string{otherKey}}
	f.putOrganisations(t, 2, acme, other)
	keyless := f.client(0)
	until(t, "requests need a key", func() bool {
		return keyless.Send(context.Background(), http.MethodGet, "/safe/1", "k", "").Status == http.StatusUnauthorized
	})
	started := time.Now()
	stop, stopOther := f.loadWithKey(6, acmeKey), f.loadWithKey(2, otherKey)
	time.Sleep(6 * time.Second)
	for i := range 2 {
		f.Controllers[i].Kill()
		time.Sleep(2 * time.Second)
		is.NoErr(f.StartPlatformController(i, false))
		time.Sleep(time.Second)
	}
	f.Entries[1].Kill()
	is.NoErr(f.StartPlatformEntry(1))
	time.Sleep(6 * time.Second)
	stop()
	stopOther()
	lasted := time.Since(started)
	starts := f.starts()
	maxRuns := maxRunsInWindow(starts, "acme")
	t.Logf("%d runs in %v, at most %d of acme in a window", len(starts), lasted, maxRuns)
	is.True(maxRuns <= quotaRate*int(quotaWindow.Seconds())+quotaBurst)
	is.True(maxRuns > quotaRate*int(quotaWindow.Seconds())*8/10)
	for _, s := range starts[1:] {
		is.True(!s.Keyed)
	}
	f.checkOnce(t)
	t.Run("a key is withdrawn", func(t *testing.T) {
		is := is.New(t)
		acme.Keys = nil
		f.putOrganisations(t, 3, acme, other)
		time.Sleep(2500 * time.Millisecond)
		before := fmt.Sprint(len(f.starts()))
		client := f.client(0)
		client.Secret = acmeKey
		is.Equal(client.Send(context.Background(), http.MethodGet, "/safe/1", "k", "").Status, http.StatusUnauthorized)
		is.Equal(fmt.Sprint(len(f.starts())), before)
	})
	files, err := filepath.Glob(filepath.Join(f.Folder, "*.log"))
	is.NoErr(err)
	is.True(len(files) >= 6)
	for _, file := range files {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		is.True(!bytes.Contains(data, []byte("s3cret")))
	}
}

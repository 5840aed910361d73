package trials

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/platform/speaker"
	"chervilrail.example/standin/internal/silencer"
	"chervilrail.example/standin/internal/starter"
)

const (
	// failOverBound is the shortest time within which any deployment has to have an accepted change in force.
	failOverBound = 2 * time.Second
	// contactBound is the shortest time after a disruption from which a deployment has to work as usual.
	contactBound = 3 * time.Second
)

// silenceControl makes all open connections to the controllers' port for internal calls go silent, at the ends of some
// processes.
func (f *fleet) silenceControl(t *testing.T, processes ...*starter.Process) {
	t.Helper()
	total := 0
	for _, p := range processes {
		n, err := silencer.Silence(p.PID(), func(local, remote netip.AddrPort) bool {
			return local.Port() == starter.ControlPort || remote.Port() == starter.ControlPort
		})
		is.New(t).NoErr(err)
		total += n
	}
	is.New(t).True(total > 0)
}

// planLags returns how long after its decision a version was in force at each entry instance, by the logs of all
// processes. It waits until it is in force at all of them.
func (f *fleet) planLags(t *testing.T, version int) []time.Duration {
	t.Helper()
	pattern := regexp.MustCompile(`ts=(\S+) .*msg="plan in force" version=(\d+)`)
	decided := f.firstLine(t, f.Controllers, regexp.MustCompile(`ts=(\S+) .*msg="plan decided" version=(\d+)`), version)
	var out []time.Duration
	for i := range f.Entries {
		inForce := f.firstLine(t, f.Entries[i:i+1], pattern, version)
		out = append(out, inForce.Sub(decided))
	}
	return out
}

// firstLine returns the earliest time of a line that names at least a version, in the logs of some processes. It waits
// for the line.
func (f *fleet) firstLine(t *testing.T, processes []*starter.Process, pattern *regexp.Regexp, version int) time.Time {
	t.Helper()
	var earliest time.Time
	until(t, "a line names the version", func() bool {
		for _, p := range processes {
			data, err := os.ReadFile(filepath.Join(f.Folder, p.Name+".log"))
			is.New(t).NoErr(err)
			for _, m := range pattern.FindAllSubmatch(data, -1) {
				at, timeErr := time.Parse(time.RFC3339Nano, string(m[1]))
				v, versionErr := strconv.Atoi(string(m[2]))
				is.New(t).NoErr(timeErr)
				is.New(t).NoErr(versionErr)
				if v >= version && (earliest.IsZero() || at.Before(earliest)) {
					earliest = at
				}
			}
		}
		return !earliest.IsZero()
	})
	return earliest
}

// change puts the next version in force after a disruption, and fails if it takes too long at any entry instance.
func (f *fleet) change(t *testing.T, version int) {
	t.Helper()
	is := is.New(t)
	began := time.Now()
	until(t, "a plan is accepted", func() bool {
		return f.operator.Put(context.Background(), speaker.Plan(version, version-1, service)) == http.StatusOK
	})
	accepted := time.Since(began)
	lags := f.planLags(t, version)
	t.Logf("version %d: accepted after %v, longest lag %v", version, accepted, slices.Max(lags))
	is.True(accepted < contactBound)
	is.True(slices.Max(lags) < failOverBound)
}

// Guards against plans that reach an instance seconds late: its connections go silent again and again, it turns from one
// controller to the next, and each connection that it kept from before costs it another time-out.
func TestSilentConnectionsOfInstancesDelayNoChange(t *testing.T) {
	f := startFleet(t, 5, 6, 2)
	for v := 2; v < 6; v++ {
		f.silenceControl(t, f.Entries...)
		time.Sleep(100 * time.Millisecond)
		f.change(t, v)
		time.Sleep(2 * time.Second)
	}
}

// Guards against controllers that are behind, or without a leader, for as long as their connections to each other are
// silent, while new ones would work at once.
func TestSilentConnectionsOfControllersDelayNoChange(t *testing.T) {
	f := startFleet(t, 5, 6, 2)
	for v := 2; v < 6; v++ {
		f.silenceControl(t, f.Controllers...)
		time.Sleep(100 * time.Millisecond)
		f.change(t, v)
		time.Sleep(2 * time.Second)
	}
}

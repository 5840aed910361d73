package trials

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/platform/speaker"
)

// servedWithin is the time in which a heartbeat has reached all entry instances, and longer than a target is in use
// after its last heartbeat.
const servedWithin = 10 * time.Second

// Guards against requests that are all refused for good: another writer sends one heartbeat for each target, with the
// target's name or address and a service that no plan names, and the targets' own heartbeats count as old from then on.
func TestForeignHeartbeatsRefuseNoRequest(t *testing.T) {
	for name, idOf := range map[string]func(id string) string{
		"names of targets": func(id string) string { return id },
		"other names":      func(id string) string { return "foreign-" + id },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, 3, 4, 6)
			stop := f.load(4)
			time.Sleep(time.Second)
			for _, target := range f.targets {
				for _, controller := range f.PlatformURLs() {
					status := target.Impersonate(context.Background(), speaker.Heartbeat{
						Controller: controller, ID: idOf(target.ID), Service: "elsewhere",
						Born: time.Now().Add(time.Hour),
					})
					is.Equal(status, http.StatusOK)
				}
			}
			time.Sleep(servedWithin)
			f.check(t, stop())
		})
	}
}

// Guards against the same by heartbeats and leaves of the target's own service that claim a start in the far future. While
// they hold, requests go to the target as before, or to others.
func TestNumbersFarAheadRefuseNoRequestForGood(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 4, 6)
	for i, target := range f.targets {
		state := "ready"
		if i%2 == 0 {
			state = "draining"
		}
		status := target.Impersonate(context.Background(), speaker.Heartbeat{
			Controller: f.PlatformURLs()[0], ID: target.ID, State: state, Born: time.Now().Add(time.Hour), Sequence: 1 << 40,
		})
		is.Equal(status, http.StatusOK)
	}
	time.Sleep(servedWithin)
	began := time.Now()
	stop := f.load(4)
	time.Sleep(2 * time.Second)
	f.check(t, stop())
	for _, target := range f.targets {
		is.True(target.LastRequest().After(began))
	}
}

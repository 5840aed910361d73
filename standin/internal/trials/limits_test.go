package trials

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/standin/internal/loader"
	"chervilrail.example/standin/internal/starter"
)

// flood sends requests to all entry instances for at least a duration, and returns the time that it took.
func flood(s *starter.System, duration time.Duration) time.Duration {
	started := time.Now()
	var group sync.WaitGroup
	for i := range 4 * len(s.Entries) {
		group.Go(func() {
			c := &loader.Caller{Service: "listings"}
			for time.Since(started) < duration {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				c.SendTo(ctx, s.CallerURL(i%len(s.Entries)), loader.Request{Method: http.MethodGet, Path: "/events"})
				cancel()
			}
		})
	}
	group.Wait()
	return time.Since(started)
}

// served returns the number of requests served by the targets whose index is included.
func served(s *starter.System, include func(i int) bool) int64 {
	var sum int64
	for _, r := range stats(s) {
		for i, b := range s.Targets {
			if b.Name == r.Name && include(i) {
				sum += r.Served
			}
		}
	}
	return sum
}

// maxAllowed returns the number of requests that a cap allows within a duration if they are counted in sliding windows
// of one second.
func maxAllowed(perSecond int64, duration time.Duration) int64 {
	return perSecond * (int64(duration/time.Second) + 2)
}

// Callers send far more than a region's cap through two entry instances while the leader is killed. If the shares of
// the instances added up to more than the cap at any time, the region would be overloaded.
func TestRegionStaysUnderItsCap(t *testing.T) {
	is := is.New(t)
	const limit = 64
	s := start(t, 3, 2)
	startTargets(t, s, "listings", 1, time.Millisecond) // in almaty only
	text := strings.Replace(catalogue(t), "cap = 4000\nfloor = 20", "cap = 64\nfloor = 4", 1)
	is.NoErr(s.Apply(text))
	time.Sleep(time.Second) // until the window from before the change has passed
	before := served(s, func(int) bool { return true })
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(time.Second)
		s.Controllers[leader(t, s)].Kill()
	})
	took := flood(s, 6*time.Second)
	group.Wait()
	got := served(s, func(int) bool { return true }) - before
	is.True(got <= maxAllowed(limit, took))
	is.True(got > limit) // the cap is used
}

// A service moves from one region to another, and callers send far more than the cap of the shift allows. Requests
// above the cap would overload the new region, whose caches are still cold.
func TestShiftStaysUnderItsCap(t *testing.T) {
	is := is.New(t)
	const limit = 32
	s := start(t, 3, 1)
	startTargets(t, s, "listings", 2, time.Millisecond) // one in almaty, one in astana
	astana := func(i int) bool { return i == 1 }
	text := strings.Replace(catalogue(t), "[entry venue]", `[shift move]
service = listings
from = almaty
to = astana
part = 100
stages = 1
cap = 32

[entry venue]`, 1)
	is.NoErr(s.Apply(text))
	before := served(s, astana)
	took := flood(s, 4*time.Second)
	got := served(s, astana) - before
	is.True(got <= maxAllowed(limit, took))
	is.True(got > limit) // the shift makes progress
}

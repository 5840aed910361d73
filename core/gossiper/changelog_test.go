package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// Guards against a watcher that misses a target, or gets one twice, because entries were removed by compaction.
func TestChangeLogReturnsEachLatestChangeOnce(t *testing.T) {
	is := is.New(t)
	var changeLog changeLog
	last := map[string]uint64{}
	lookup := func(name string) uint64 { return last[name] }
	for i := range uint64(5000) {
		name := fmt.Sprint("t", i*i%37)
		last[name] = i + 1
		changeLog.add(i+1, name, lookup)
	}
	for _, from := range []uint64{0, 4000, 4990, 5000} {
		returned := map[string]bool{}
		for _, name := range changeLog.since(from, lookup) {
			is.True(!returned[name])
			returned[name] = true
		}
		for name, counter := range last {
			is.Equal(returned[name], counter > from)
		}
	}
	is.True(len(changeLog.entries) < 5*minEntries)
}

// BenchmarkChanges measures what one changed target costs a controller for one watcher.
func BenchmarkChanges(b *testing.B) {
	for _, targets := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			now := time.Unix(1000, 0)
			g := &Gossiper{Self: "c0", Run: 1}
			for i := range targets {
				r := record(fmt.Sprint("t", i), 1, 1, ready)
				r.Address = fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
				g.Announce(now, r)
			}
			for i := range b.N {
				r := record("t0", uint64(i+2), 1, ready)
				g.Announce(now, r)
				g.ChangesSince(now, Position{g.Counter() - 1, g.Counter() - 1}, g.Counter(), 0)
				sent := g.BuildRequest(now, "c1")
				g.HandleResponse(now, "c1", &wire.ExchangeResponse{Run: 1, Counter: sent.GetCounter(), Answerer: 2})
			}
		})
	}
}

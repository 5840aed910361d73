package gauger

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

var start = time.Unix(1000, 0)

// Guards against loads that are rounded to zero on the wire, and against a panic on a truncated message.
func TestEncodeAndDecode(t *testing.T) {
	is := is.New(t)
	in := []Reading{{1, 0}, {2, 0.5}, {3, 1.25}, {4, 100}}
	out := Decode(Encode(in))
	is.Equal(len(out), len(in))
	for i := range in[:3] {
		is.Equal(out[i].Target, in[i].Target)
		is.True(math.Abs(out[i].PerSlot-in[i].PerSlot) <= 0.5/levelsPerUnit)
	}
	is.True(out[3].PerSlot > 7)
	is.Equal(len(Decode(&wire.Loads{Targets: []uint32{1, 2}, Levels: []byte{32}})), 1)
	is.Equal(len(Decode(nil)), 0)
	is.True(Encode(nil) == nil)
}

// Guards against an overloaded target that is taken for an average one: it has three times as many requests as slots,
// and each of two hundred instances receives a report of it only once in many seconds, but all together receive several
// a second.
func TestBusyTargetIsSeenAcrossInstances(t *testing.T) {
	is := is.New(t)
	var local, other LoadTable
	var lastExchange time.Time
	now := start
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		var c Collector
		c.Add(Reading{Key("busy"), 3})
		c.Add(Reading{Key(fmt.Sprint("idle", i%50)), 0.25})
		local.Record(now, c.Take(), true)
		other.Record(now, local.Local(lastExchange), false)
		lastExchange = now
	}
	for _, g := range []*LoadTable{&local, &other} {
		loads := map[uint32]float64{}
		for _, r := range g.Since(0) {
			loads[r.Target] = r.PerSlot
		}
		is.Equal(len(loads), 51)
		is.True(math.Abs(loads[Key("busy")]-3) < 0.1)
		is.True(math.Abs(loads[Key("idle7")]-0.25) < 0.1)
	}
	t.Run("only changes are published", func(t *testing.T) {
		is := is.New(t)
		before := local.Counter()
		local.Record(now, []Reading{{Key("idle7"), 4}}, true)
		updates := local.Since(before)
		is.Equal(len(updates), 1)
		is.Equal(updates[0].Target, Key("idle7"))
		is.Equal(len(local.Since(local.Counter())), 0)
	})
	t.Run("bounded", func(t *testing.T) { is.New(t).True(len(local.changes) <= 2*len(local.targets)+2) })
}

package gossiper

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

func reservedRecord(name, service string, sequence uint64) *wire.Record {
	return &wire.Record{
		Name: name, Incarnation: 1, Sequence: sequence, Service: service, Address: "10.0.0.1:80", Slots: 1,
		State: wire.TargetState_TARGET_READY,
	}
}

func allNamed(string) bool { return true }

// Guards against controllers that are killed for their memory by heartbeats for services that no plan names.
func TestReserveIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var g Gossiper
	for i := range 1000 {
		g.Reserve(now, reservedRecord(fmt.Sprint("foreign", i), strings.Repeat("s", 60<<10), 1))
	}
	is.True(g.reserve.size <= maxReserveSize)
	is.True(len(g.reserve.byKey) > 0)
	g.Tick(now.Add(reserveRetention))
	is.Equal(len(g.reserve.byKey), 0)
	is.Equal(g.reserve.size, 0)
	is.True(g.Reserve(now, reservedRecord("t1", "listings", 1)))
	is.Equal(len(g.Admit(now, allNamed)), 1)
	is.Equal(g.reserve.size, 0)
}

// Guards against requests that are refused after a plan has named a service, because only the controllers that received
// its targets' announcements know them.
func TestReservedTargetsAreAdmittedByAllControllers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	first, second := &Gossiper{Self: "c1", Run: 1}, &Gossiper{Self: "c2", Run: 2}
	first.Reserve(now, reservedRecord("t1", "listings", 1))
	first.Reserve(now, reservedRecord("t2", "listings", 1))
	exchange(now, first, second)
	exchange(now, first, second)
	_, known := second.Target("t1")
	is.True(!known)

	now = now.Add(silentAfter - time.Second)
	first.Reserve(now, reservedRecord("t1", "listings", 2))
	now = now.Add(2 * time.Second)
	first.Tick(now) // t2 has fallen silent
	exchange(now, first, second)
	is.Equal(len(second.Admit(now, allNamed)), 0) // none announces itself there
	for name, want := range map[string]bool{"t1": true, "t2": false} {
		_, known := second.Target(name)
		is.Equal(known, want)
	}
	first.Admit(now, allNamed)
	is.Equal(first.digest, second.digest)
}

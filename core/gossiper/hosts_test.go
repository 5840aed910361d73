package gossiper

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

func host(object uint64, target string) *wire.Host {
	return &wire.Host{Object: object, Service: "s", Target: target, Region: "r"}
}

// swap lets one controller tell another what it has.
func swap(now time.Time, from, to *Gossiper) int {
	request := from.BuildRequest(now, to.Self)
	from.HandleResponse(now, to.Self, to.HandleRequest(now, request))
	return len(request.GetHosts())
}

func assertHost(t *testing.T, g *Gossiper, object uint64, target string) {
	t.Helper()
	is := is.New(t)
	for _, h := range g.HostsSince("r", 0) {
		if h.GetObject() == object {
			is.Equal(h.GetTarget(), target)
			return
		}
	}
	is.Fail()
}

// An entry instance tells one controller where an object is warm, and asks another one after the restart of all.
func TestHostsReachTheOtherControllersOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := &Gossiper{Self: "a", Run: 1}, &Gossiper{Self: "b", Run: 2}
	a.UpdateHosts([]*wire.Host{host(1, "t1"), host(2, "t1")})
	is.Equal(swap(now, a, b), 2)
	assertHost(t, b, 1, "t1")
	is.Equal(swap(now, a, b), 0)
	moved := host(1, "t2")
	moved.Version = 1
	a.UpdateHosts([]*wire.Host{moved, host(2, "t1")})
	is.Equal(swap(now, a, b), 1) // only what changed
	assertHost(t, b, 1, "t2")
	is.Equal(len(b.HostsSince("elsewhere", 0)), 0)
	is.Equal(swap(now, b, a), 0) // what b was told by a controller it does not pass on
}

// Guards against controllers that hear of two moves of an object in different orders, and tell their entry instances
// different hosts for good.
func TestTheOrderOfMovesDoesNotMatter(t *testing.T) {
	is := is.New(t)
	a, b := &Gossiper{Self: "a", Run: 1}, &Gossiper{Self: "b", Run: 2}
	first, second, rival := host(1, "t3"), host(1, "t2"), host(1, "t1")
	first.Version, second.Version, rival.Version = 1, 2, 2
	a.UpdateHosts([]*wire.Host{first, second, rival})
	b.UpdateHosts([]*wire.Host{rival, second, first})
	for _, g := range []*Gossiper{a, b} {
		assertHost(t, g, 1, "t1")
	}
	told := a.HostsCounter()
	a.UpdateHosts([]*wire.Host{second})
	is.Equal(a.HostsCounter(), told)
	is.Equal(len(a.HostsSince("r", told)), 0)
}

// A controller lost its disk. The others tell it everything again when they meet its new run.
func TestNewRunIsToldAllHosts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := &Gossiper{Self: "a", Run: 1}, &Gossiper{Self: "b", Run: 2}
	a.UpdateHosts([]*wire.Host{host(1, "t1")})
	swap(now, a, b)
	empty := &Gossiper{Self: "b", Run: 3}
	swap(now, a, empty)
	swap(now, a, empty)
	is.Equal(len(empty.HostsSince("r", 0)), 1)
}

// A target leaves, and an entry instance that is started later asks where the objects are. Told that they are at the target
// that left, it would wait for that one to announce itself, and refuse their requests.
func TestHostsOfATargetThatLeftAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := &Gossiper{Self: "a", Run: 1}, &Gossiper{Self: "b", Run: 2}
	a.UpdateHosts([]*wire.Host{host(1, "t1"), host(2, "t2")})
	swap(now, a, b)
	changed := a.HostsCounter()
	a.Announce(now, record("t1", 1, 2, wire.TargetState_TARGET_LEAVING))
	swap(now, a, b)
	for _, g := range []*Gossiper{a, b} {
		is.Equal(len(g.HostsSince("r", 0)), 1)
		assertHost(t, g, 2, "t2")
	}
	is.True(a.HostsCounter() > changed) // the file is written anew
	t.Run("also if they are told late", func(t *testing.T) {
		is := is.New(t)
		a.UpdateHosts([]*wire.Host{host(3, "t1")})
		is.Equal(len(a.HostsSince("r", 0)), 1)
	})
	t.Run("but not those of its next run", func(t *testing.T) {
		a.Announce(now, record("t1", 2, 1, ready))
		a.UpdateHosts([]*wire.Host{host(3, "t1")})
		assertHost(t, a, 3, "t1")
	})
}

// Objects come and go for months. The oldest hosts make room; without a bound they would fill the controller's memory.
func TestHostsAreBounded(t *testing.T) {
	is := is.New(t)
	g := &Gossiper{Self: "a", Run: 1}
	for i := range uint64(maxHosts + 10) {
		g.UpdateHosts([]*wire.Host{host(i, "t1")})
	}
	list := g.HostsSince("", 0)
	is.Equal(len(list), maxHosts)
	is.Equal(list[0].GetObject(), uint64(10))
}

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

// exchange sends one request from a controller to another and returns the number of hosts in it.
func exchange(now time.Time, from, to *Gossiper) int {
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

// An entry instance reports to one controller where an object is warm, and asks another one after all have restarted.
func TestHostsAreSentToOtherControllersOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := &Gossiper{Self: "a", Run: 1}, &Gossiper{Self: "b", Run: 2}
	a.UpdateHosts([]*wire.Host{host(1, "t1"), host(2, "t1")})
	is.Equal(exchange(now, a, b), 2)
	assertHost(t, b, 1, "t1")
	is.Equal(exchange(now, a, b), 0)
	moved := host(1, "t2")
	moved.Version = 1
	a.UpdateHosts([]*wire.Host{moved, host(2, "t1")})
	is.Equal(exchange(now, a, b), 1) // only what changed
	assertHost(t, b, 1, "t2")
	is.Equal(len(b.HostsSince("elsewhere", 0)), 0)
	is.Equal(exchange(now, b, a), 0) // b does not forward what another controller sent it
}

// Guards against controllers that receive two moves of an object in different orders, and send their entry instances
// different hosts permanently.
func TestOrderOfMovesDoesNotMatter(t *testing.T) {
	is := is.New(t)
	a, b := &Gossiper{Self: "a", Run: 1}, &Gossiper{Self: "b", Run: 2}
	earlier, later, concurrent := host(1, "t3"), host(1, "t2"), host(1, "t1")
	earlier.Version, later.Version, concurrent.Version = 1, 2, 2
	a.UpdateHosts([]*wire.Host{earlier, later, concurrent})
	b.UpdateHosts([]*wire.Host{concurrent, later, earlier})
	for _, g := range []*Gossiper{a, b} {
		assertHost(t, g, 1, "t1")
	}
	before := a.HostsCounter()
	a.UpdateHosts([]*wire.Host{later})
	is.Equal(a.HostsCounter(), before)
	is.Equal(len(a.HostsSince("r", before)), 0)
}

// A controller lost its disk. The others send it everything again once they detect its new run.
func TestNewRunReceivesAllHosts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := &Gossiper{Self: "a", Run: 1}, &Gossiper{Self: "b", Run: 2}
	a.UpdateHosts([]*wire.Host{host(1, "t1")})
	exchange(now, a, b)
	empty := &Gossiper{Self: "b", Run: 3}
	exchange(now, a, empty)
	exchange(now, a, empty)
	is.Equal(len(empty.HostsSince("r", 0)), 1)
}

// A target leaves, and an entry instance that starts later asks where the objects are. If it received the target that
// left, it would wait for that target to announce itself, and refuse the objects' requests.
func TestHostsOfLeftTargetsAreRemoved(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := &Gossiper{Self: "a", Run: 1}, &Gossiper{Self: "b", Run: 2}
	a.UpdateHosts([]*wire.Host{host(1, "t1"), host(2, "t2")})
	exchange(now, a, b)
	changed := a.HostsCounter()
	a.Announce(now, record("t1", 1, 2, wire.TargetState_TARGET_LEAVING))
	exchange(now, a, b)
	for _, g := range []*Gossiper{a, b} {
		is.Equal(len(g.HostsSince("r", 0)), 1)
		assertHost(t, g, 2, "t2")
	}
	is.True(a.HostsCounter() > changed) // so that the file is rewritten
	t.Run("also when reported late", func(t *testing.T) {
		is := is.New(t)
		a.UpdateHosts([]*wire.Host{host(3, "t1")})
		is.Equal(len(a.HostsSince("r", 0)), 1)
	})
	t.Run("but not those of its next incarnation", func(t *testing.T) {
		a.Announce(now, record("t1", 2, 1, ready))
		a.UpdateHosts([]*wire.Host{host(3, "t1")})
		assertHost(t, a, 3, "t1")
	})
}

// Objects come and go for months. Without a bound, their hosts would fill the controller's memory; the oldest are
// evicted.
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

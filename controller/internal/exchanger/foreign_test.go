package exchanger

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// foreign returns a heartbeat of another writer for a service that no plan names, with the name and address of t1 and
// numbers above all of t1's.
func foreign() *wire.Record {
	r := announcement(1<<40, wire.TargetState_TARGET_READY)
	r.Incarnation, r.Service = 1<<40, "elsewhere"
	return r
}

// assertReady fails unless a target is in use, for a service, with a sequence.
func assertReady(t *testing.T, x *Exchanger, name, service string, sequence uint64) {
	t.Helper()
	is := is.New(t)
	x.mu.Lock()
	defer x.mu.Unlock()
	record, known := x.gossip.Target(name)
	is.True(known)
	is.Equal(record.GetState(), wire.TargetState_TARGET_READY)
	is.Equal(record.GetService(), service)
	is.Equal(record.GetSequence(), sequence)
}

// startNaming starts an exchanger whose plan names services. name changes them.
func startNaming(t *testing.T, services ...string) (x *Exchanger, name func(services ...string)) {
	t.Helper()
	named := &atomic.Pointer[[]*wire.Service]{}
	set := func(services ...string) {
		list := []*wire.Service{}
		for _, s := range services {
			list = append(list, &wire.Service{Name: s})
		}
		named.Store(&list)
	}
	set(services...)
	x = startWith(t, consensus{voters: []string{"c1"}, services: named})
	return x, func(services ...string) {
		set(services...)
		x.RoutingChanged()
	}
}

// Guards against requests that are refused for good, although their targets go on announcing themselves: a heartbeat for
// a service that no plan names takes the place of the record of the same name or address.
func TestForeignHeartbeatsTakeNoTargetOutOfUse(t *testing.T) {
	for name, change := range map[string]func(r *wire.Record){
		"same name and address": func(*wire.Record) {},
		"same address":          func(r *wire.Record) { r.Name = "foreign" },
		"same name":             func(r *wire.Record) { r.Address = "10.0.0.9:80" },
		"same name, leaving":    func(r *wire.Record) { r.State = wire.TargetState_TARGET_LEAVING },
		"same address, leaving": func(r *wire.Record) { r.Name, r.State = "foreign", wire.TargetState_TARGET_LEAVING },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := startExchanger(t, "c1")
			is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
			r := foreign()
			change(r)
			is.NoErr(x.Announce(context.Background(), r))
			assertReady(t, x, "t1", "listings", 1)
			is.NoErr(x.Announce(context.Background(), announcement(2, wire.TargetState_TARGET_READY)))
			assertReady(t, x, "t1", "listings", 2)
		})
	}
}

// Guards against requests that are refused until the next heartbeats, when a plan names a service whose targets have
// announced themselves before.
func TestTargetsAreInUseOnceTheirServiceIsNamed(t *testing.T) {
	is := is.New(t)
	x, name := startNaming(t)
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	name("listings")
	assertReady(t, x, "t1", "listings", 1)
}

// Guards against requests to a target that has left, when a plan names its service after that.
func TestTargetLeavesBeforeItsServiceIsNamed(t *testing.T) {
	is := is.New(t)
	x, name := startNaming(t)
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	is.NoErr(x.Announce(context.Background(), announcement(2, wire.TargetState_TARGET_LEAVING)))
	name("listings")
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	record, _ := x.gossip.Target("t1")
	is.Equal(record.GetState(), wire.TargetState_TARGET_LEAVING)
}

// Guards against requests to a target that has left while no plan named its service.
func TestTargetLeavesWhileItsServiceIsNotNamed(t *testing.T) {
	is := is.New(t)
	x, name := startNaming(t, "listings")
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	name()
	is.NoErr(x.Announce(context.Background(), announcement(2, wire.TargetState_TARGET_READY)))
	assertReady(t, x, "t1", "listings", 2)
	is.NoErr(x.Announce(context.Background(), announcement(3, wire.TargetState_TARGET_LEAVING)))
	name("listings")
	record, _ := x.gossip.Target("t1")
	is.Equal(record.GetState(), wire.TargetState_TARGET_LEAVING)
}

// Guards against a leave that is acknowledged and has no effect, because another writer has announced the target with a
// number far ahead.
func TestLeaveWithoutEffectIsNotAcknowledged(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1")
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	r := foreign()
	r.Service = "listings"
	is.NoErr(x.Announce(context.Background(), r))
	var superseded *SupersededError
	is.True(errors.As(x.Announce(context.Background(), announcement(2, wire.TargetState_TARGET_LEAVING)), &superseded))
	is.True(errors.As(x.Leave(context.Background(), "t1", 5), &superseded))
}

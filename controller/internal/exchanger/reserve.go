package exchanger

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/controller/internal/counter"
	"chervilrail.example/core/wire"
)

func names(plan *wire.Plan, service string) bool {
	return slices.ContainsFunc(plan.GetServices(), func(s *wire.Service) bool { return s.GetName() == service })
}

// setAside processes an announcement for a service that no plan names, and reports whether there is nothing more to do. A
// ready target is reserved until its service is named. One that leaves is recorded, without an address, so that it is not
// in use then; if its name is that of a target of another service, it says nothing about that one.
func (x *Exchanger) setAside(ctx context.Context, r *wire.Record) bool {
	done := false
	x.update(func(now time.Time) {
		old, known := x.gossip.Target(r.GetName())
		switch {
		case names(x.Consensus.Routing().Plan, r.GetService()), known && old.GetService() == r.GetService():
		case r.GetState() == wire.TargetState_TARGET_READY:
			x.reserve(ctx, now, r)
			done = true
		default:
			r.Address = ""
			done = known
		}
	})
	return done
}

// reserve reserves a target. The caller holds the lock.
func (x *Exchanger) reserve(ctx context.Context, now time.Time, r *wire.Record) {
	if x.gossip.Reserve(now, r) {
		_ = level.Info(x.Logger).Log("msg", "target reserved", "target", r.GetName(), "incarnation", r.GetIncarnation(),
			"sequence", r.GetSequence(), "service", r.GetService(), "address", r.GetAddress(), "zone", r.GetZone(),
			"reason", "no plan names the service")
	}
	x.countAnnouncement(ctx, false, false)
	x.Counter.Add(counter.Reserved, 1)
}

// RoutingChanged takes the reserved targets of services that the plan names by now into use, and makes all watch calls in
// progress look for changes: an entry instance that has the plan before the targets refuses their requests.
func (x *Exchanger) RoutingChanged() {
	plan := x.Consensus.Routing().Plan
	x.update(func(now time.Time) {
		for _, r := range x.gossip.Admit(now, func(service string) bool { return names(plan, service) }) {
			_ = level.Info(x.Logger).Log("msg", "target admitted", "target", r.GetName(), "service", r.GetService(),
				"address", r.GetAddress(), "version", plan.GetVersion())
		}
	})
	x.NotifyWatchers()
}

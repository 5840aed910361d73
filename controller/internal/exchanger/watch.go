package exchanger

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	"chervilrail.example/controller/internal/counter"
	"chervilrail.example/core/gossiper"
	"chervilrail.example/core/wire"
)

// changesDelay is how long changes are batched before watch calls are answered. Changes come in groups, and each answer
// costs every entry instance another call.
const changesDelay = 50 * time.Millisecond

// Watch implements the long poll of entry instances: it answers as soon as there are changes that the instance has not
// seen, or after watchTimeout. The first call of an instance outside this controller's region is answered with the
// reachable controllers of the instance's region, if there are any.
func (x *Exchanger) Watch(
	ctx context.Context, r *connect.Request[wire.WatchRequest],
) (*connect.Response[wire.WatchResponse], error) {
	x.update(func(now time.Time) {
		x.gossip.ObserveInstance(now, r.Msg.GetNode())
		x.gossip.UpdateLoads(now, r.Msg.GetLoads())
	})
	if r.Msg.GetFirst() {
		if nearControllers := x.nearControllers(r.Msg.GetNode().GetRegion()); nearControllers != nil {
			return connect.NewResponse(nearControllers), nil
		}
	}
	received := time.Now()
	timer := time.NewTimer(watchTimeout)
	defer timer.Stop()
	for {
		x.mu.Lock()
		changed := x.changed
		x.mu.Unlock()
		now := time.Now()
		response, fresh := x.buildResponse(now, r.Msg)
		if fresh {
			return x.answerWatch(response, now.Sub(received)), nil
		}
		select {
		case <-changed:
			time.Sleep(changesDelay)
		case <-timer.C:
			now := time.Now()
			response, _ = x.buildResponse(now, r.Msg)
			return x.answerWatch(response, now.Sub(received)), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		case <-x.ctx.Done():
			return nil, connect.NewError(connect.CodeUnavailable, x.ctx.Err())
		}
	}
}

// answerWatch returns a response that was built after the call had been held for a while.
func (x *Exchanger) answerWatch(
	response *wire.WatchResponse, held time.Duration,
) *connect.Response[wire.WatchResponse] {
	response.Held = int64(held)
	x.Counter.Add(counter.Watches, 1)
	x.Counter.Add(counter.WatchedRecords, len(response.GetRecords()))
	for _, packed := range response.GetPacked() {
		x.Counter.Add(counter.PackedBytes, len(packed))
	}
	return connect.NewResponse(response)
}

// buildResponse builds the response for the current state, and reports whether to send it at once: there are changes
// that the instance has not seen, it waits for a confirmation of its first plan or, as others failed, for any answer,
// or it has to turn to another controller. One that comes from another controller and has to turn away at once gets no
// changes of targets.
func (x *Exchanger) buildResponse(now time.Time, r *wire.WatchRequest) (*wire.WatchResponse, bool) {
	confirmed := x.Consensus.Confirmed()
	routing := x.Consensus.Routing()
	linked := x.linked(now)
	x.mu.Lock()
	defer x.mu.Unlock()
	position := gossiper.Position{Records: r.GetCounter(), Instances: r.GetCounter()}
	if r.GetUnpacks() {
		position.Instances = r.GetObserved()
	}
	hosted, loaded := r.GetHosted(), r.GetLoaded()
	visited := r.GetRun() == x.gossip.Run
	if !visited {
		position, hosted, loaded = gossiper.Position{}, 0, 0
	}
	set := &changeSet{changes: &gossiper.Changes{}}
	// An instance that has to turn to another controller at once would only wait for all targets.
	passes := !linked && !visited && !r.GetFailing() && !r.GetNode().GetStarting()
	if !passes {
		set = x.changesAfter(now, position, r.GetUnpacks())
	}
	out := &wire.WatchResponse{
		Run: x.gossip.Run, Counter: set.changes.Next.Records, Observed: set.changes.Next.Instances,
		Partial: set.changes.Partial, Linked: linked, Revision: routing.Revision,
		Confirmed: !confirmed.IsZero(),
	}
	if out.GetConfirmed() {
		out.Age = int64(now.Sub(confirmed))
	}
	if set.packed != nil {
		out.Packed = append(out.Packed, set.packed)
	} else {
		changes := set.changes
		out.Records, out.Seen, out.Whole, out.Losses = changes.Records, changes.Seen, changes.Whole, changes.Losses
		out.Ratelimits, out.Backoffs = changes.RateLimits, changes.Backoffs
	}
	if !passes {
		out.Hosts, out.Hosted = x.gossip.HostsSince(r.GetNode().GetRegion(), hosted), x.gossip.HostsCounter()
		out.Loads, out.Loaded = x.gossip.LoadsSince(loaded)
	}
	x.listControllers(now, r.GetNode().GetRegion(), linked, out)
	if routing.Revision > r.GetRevision() {
		out.Evacuated = routing.Evacuated
		if routing.Plan.GetVersion() > r.GetVersion() {
			x.addPlan(out, routing.PlanWithoutKeys, r.GetUnpacks())
		}
	}
	fresh := r.GetFailing() || routing.Revision > r.GetRevision() || !set.changes.Empty() || len(out.Hosts) > 0 ||
		r.GetNode().GetStarting() && isCurrent(now, confirmed)
	return out, fresh || passes || !linked && visited
}

// addPlan adds a plan to a response, packed if it is large and the instance unpacks it. The caller holds the lock.
func (x *Exchanger) addPlan(out *wire.WatchResponse, plan *wire.Plan, unpacks bool) {
	out.Plan = plan
	if !unpacks {
		return
	}
	if packed := x.packPlan(plan); packed != nil {
		out.Plan, out.Packed = nil, append(out.Packed, packed)
	}
}

// listControllers adds the controllers to a response, and those that the instance should prefer: the reachable ones in its
// region. Where this controller is not linked, those that it reaches are not either, so that the others are preferred. The
// caller holds the lock.
func (x *Exchanger) listControllers(now time.Time, region string, linked bool, out *wire.WatchResponse) {
	for _, m := range x.Consensus.Routing().Members {
		out.Controllers = append(out.Controllers, m.GetAddress())
		preferred := x.gossip.ReachableIn(now, m.GetName(), region)
		if !linked {
			preferred = !x.gossip.Reachable(now, m.GetName())
		}
		if preferred {
			out.Near = append(out.Near, m.GetAddress())
		}
	}
}

// nearControllers returns a response that only names controllers, or nil if this controller is in the region itself or
// no reachable controller is.
func (x *Exchanger) nearControllers(region string) *wire.WatchResponse {
	if region == x.Region {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	out := &wire.WatchResponse{}
	x.listControllers(time.Now(), region, true, out)
	if len(out.GetNear()) == 0 {
		return nil
	}
	return out
}

// Tell implements the entry instances' reports: of their own state, of requests lost with a target, of hosts of objects,
// and of what targets say of themselves.
func (x *Exchanger) Tell(
	_ context.Context, r *connect.Request[wire.TellRequest],
) (*connect.Response[wire.TellResponse], error) {
	x.update(func(now time.Time) {
		x.gossip.ObserveInstance(now, r.Msg.GetNode())
		x.gossip.ReportLosses(now, r.Msg.GetLosses(), true)
		x.gossip.UpdateHosts(r.Msg.GetHosts())
		x.gossip.UpdateRateLimits(r.Msg.GetRatelimits())
		x.gossip.UpdateBackoffs(now, r.Msg.GetBackoffs())
		x.reportLeaves(now, r.Msg)
	})
	return connect.NewResponse(&wire.TellResponse{}), nil
}

// reportLeaves records the targets that said to an entry instance that they leave. The caller holds the lock.
func (x *Exchanger) reportLeaves(now time.Time, r *wire.TellRequest) {
	for _, l := range r.GetLeaves() {
		if x.gossip.ReportLeave(now, l.GetTarget(), l.GetIncarnation()) {
			_ = level.Info(x.Logger).Log("msg", "target leaves", "target", l.GetTarget(), "incarnation", l.GetIncarnation(),
				"from", r.GetNode().GetName())
		}
	}
}

// EntryInstances returns the entry instances that any reachable controller has recently observed.
func (x *Exchanger) EntryInstances() []*wire.Seen {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossip.Instances(time.Now())
}

package exchanger

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"chervilrail.example/core/wire"
)

// gatherNews is how long news waits for more before it is passed on. Changes come in groups, and each answer costs every
// entry instance a call.
const gatherNews = 50 * time.Millisecond

// Watch answers an entry instance as soon as there is something new for it, or after a pause.
func (x *Exchanger) Watch(
	ctx context.Context, r *connect.Request[wire.WatchRequest],
) (*connect.Response[wire.WatchResponse], error) {
	x.update(func(now time.Time) {
		x.gossip.ObserveInstance(now, r.Msg.GetNode())
		x.gossip.UpdateLoads(now, r.Msg.GetLoads())
	})
	if r.Msg.GetFirst() {
		if nearer := x.nearer(r.Msg.GetNode().GetRegion()); nearer != nil {
			return connect.NewResponse(nearer), nil
		}
	}
	pause := time.NewTimer(watchHold)
	defer pause.Stop()
	for {
		x.mu.Lock()
		news := x.news
		x.mu.Unlock()
		response, fresh := x.answer(time.Now(), r.Msg)
		if fresh {
			return connect.NewResponse(response), nil
		}
		select {
		case <-news:
			time.Sleep(gatherNews)
		case <-pause.C:
			response, _ = x.answer(time.Now(), r.Msg)
			return connect.NewResponse(response), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		case <-x.ctx.Done():
			return nil, connect.NewError(connect.CodeUnavailable, x.ctx.Err())
		}
	}
}

// answer makes the response of this moment, and reports whether it holds anything new.
func (x *Exchanger) answer(now time.Time, r *wire.WatchRequest) (*wire.WatchResponse, bool) {
	routing := x.Consensus.Routing()
	linked := x.linked(now)
	x.mu.Lock()
	defer x.mu.Unlock()
	counter, hosted, loaded := r.GetCounter(), r.GetHosted(), r.GetLoaded()
	if r.GetRun() != x.gossip.Run {
		counter, hosted, loaded = 0, 0, 0
	}
	news := x.gossip.ChangesSince(now, counter)
	out := &wire.WatchResponse{
		Run: x.gossip.Run, Counter: x.gossip.Counter(), Linked: linked, Revision: routing.Revision,
		Records: news.Records, Seen: news.Seen, Whole: news.Whole, Losses: news.Losses,
	}
	out.Hosts, out.Hosted = x.gossip.HostsSince(r.GetNode().GetRegion(), hosted), x.gossip.HostsCounter()
	out.Loads, out.Loaded = x.gossip.LoadsSince(loaded)
	x.nameControllers(now, r.GetNode().GetRegion(), out)
	if routing.Revision > r.GetRevision() {
		out.Evacuated = routing.Evacuated
		if routing.Plan.GetVersion() > r.GetVersion() {
			out.Plan = routing.PlanWithoutKeys
		}
	}
	fresh := routing.Revision > r.GetRevision() || !news.Empty() || len(out.Hosts) > 0
	return out, fresh || !linked && r.GetRun() == x.gossip.Run
}

// nameControllers lists the controllers, and which of them are near. The caller holds the lock.
func (x *Exchanger) nameControllers(now time.Time, region string, out *wire.WatchResponse) {
	for _, m := range x.Consensus.Routing().Members {
		out.Controllers = append(out.Controllers, m.GetAddress())
		if x.gossip.ReachableIn(now, m.GetName(), region) {
			out.Near = append(out.Near, m.GetAddress())
		}
	}
}

// nearer returns an answer that only names controllers of a region, or nil if this one is there or none is.
func (x *Exchanger) nearer(region string) *wire.WatchResponse {
	if region == x.Region {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	out := &wire.WatchResponse{}
	x.nameControllers(time.Now(), region, out)
	if len(out.GetNear()) == 0 {
		return nil
	}
	return out
}

// Tell takes an entry instance's news.
func (x *Exchanger) Tell(
	_ context.Context, r *connect.Request[wire.TellRequest],
) (*connect.Response[wire.TellResponse], error) {
	x.update(func(now time.Time) {
		x.gossip.ObserveInstance(now, r.Msg.GetNode())
		x.gossip.ReportLosses(now, r.Msg.GetLosses(), true)
		x.gossip.UpdateHosts(r.Msg.GetHosts())
	})
	return connect.NewResponse(&wire.TellResponse{}), nil
}

// EntryInstances returns the entry instances heard lately by any controller in touch.
func (x *Exchanger) EntryInstances() []*wire.Seen {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossip.Instances(time.Now())
}

package exchanger

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"chervilrail.example/core/wire"
)

// Watch answers an entry instance as soon as there is something new for it, or after a pause.
func (x *Exchanger) Watch(
	ctx context.Context, r *connect.Request[wire.WatchRequest],
) (*connect.Response[wire.WatchResponse], error) {
	x.update(func(now time.Time) {
		x.gossip.See(now, r.Msg.GetNode())
		x.gossip.Report(now, r.Msg.GetLosses(), true)
	})
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
	routing := x.Mind.Routing()
	linked := x.linked(now)
	x.mu.Lock()
	defer x.mu.Unlock()
	counter := r.GetCounter()
	if r.GetRun() != x.gossip.Run {
		counter = 0
	}
	out := &wire.WatchResponse{Run: x.gossip.Run, Counter: x.gossip.Counter(), Linked: linked, Revision: routing.Revision}
	out.Records, out.Seen, out.Losses = x.gossip.Since(now, counter)
	for _, m := range routing.Members {
		out.Controllers = append(out.Controllers, m.GetAddress())
	}
	if routing.Revision > r.GetRevision() {
		out.Evacuated = routing.Evacuated
		if routing.Plan.GetVersion() > r.GetVersion() {
			out.Plan = routing.Plan
		}
	}
	fresh := routing.Revision > r.GetRevision() || len(out.Records)+len(out.Seen)+len(out.Losses) > 0
	return out, fresh || !linked && r.GetRun() == x.gossip.Run
}

// Entries returns the entry instances heard lately by any controller in touch.
func (x *Exchanger) Entries() []*wire.Seen {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossip.Nodes(time.Now())
}

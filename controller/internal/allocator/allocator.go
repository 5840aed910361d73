// Package allocator answers entry instances' requests for parts of organisations' quotas. Any controller accepts them:
// the leader allots the parts itself, others forward the request to it.
package allocator

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/controller/internal/consenter"
	"chervilrail.example/core/wire"
)

// Consensus allots parts of quotas if this controller is the leader, and returns a consenter.NotLeaderError otherwise.
type Consensus interface {
	Allot(ctx context.Context, r *wire.AllotRequest) (*wire.AllotResponse, error)
}

// Forwarder sends requests to the leader.
type Forwarder interface {
	ForwardAllot(ctx context.Context, r *wire.AllotRequest) (*wire.AllotResponse, error)
}

// Allocator serves entry instances. Set the exported fields before use.
type Allocator struct {
	Consensus Consensus
	Forwarder Forwarder
	Logger    log.Logger
}

// Allot implements the call of entry instances, and of controllers that forward it. A request that was forwarded
// already is not forwarded again. All errors have the code unavailable.
func (a *Allocator) Allot(
	ctx context.Context, r *connect.Request[wire.AllotRequest],
) (*connect.Response[wire.AllotResponse], error) {
	response, err := a.Consensus.Allot(ctx, r.Msg)
	var notLeader *consenter.NotLeaderError
	if errors.As(err, &notLeader) && !r.Msg.GetPassed() {
		response, err = a.forward(ctx, r.Msg)
	}
	if err != nil {
		_ = level.Debug(a.Logger).Log("msg", "parts of quotas not allotted",
			"holder", r.Msg.GetHolder().GetName(), "err", err)
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// forward marks the request as forwarded and sends it to the leader.
func (a *Allocator) forward(ctx context.Context, r *wire.AllotRequest) (*wire.AllotResponse, error) {
	r.Passed = true
	return a.Forwarder.ForwardAllot(ctx, r)
}

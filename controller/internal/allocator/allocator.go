// Package allocator answers entry instances that ask for parts of organisations' quotas, on any controller: here if this
// controller leads, and by passing the question on to the leader otherwise.
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

// Consensus allots where this controller leads.
type Consensus interface {
	Allot(ctx context.Context, r *wire.AllotRequest) (*wire.AllotResponse, error)
}

// Forwarder sends questions to the leader.
type Forwarder interface {
	ForwardAllot(ctx context.Context, r *wire.AllotRequest) (*wire.AllotResponse, error)
}

// Allocator serves entry instances. Set the exported fields before use.
type Allocator struct {
	Consensus Consensus
	Forwarder Forwarder
	Logger    log.Logger
}

// Allot implements the call of entry instances, and of controllers that pass it on.
func (d *Allocator) Allot(
	ctx context.Context, r *connect.Request[wire.AllotRequest],
) (*connect.Response[wire.AllotResponse], error) {
	response, err := d.Consensus.Allot(ctx, r.Msg)
	var leader *consenter.NotLeaderError
	if errors.As(err, &leader) && !r.Msg.GetPassed() {
		response, err = d.pass(ctx, r.Msg)
	}
	if err != nil {
		_ = level.Debug(d.Logger).Log("msg", "parts of quotas not given", "holder", r.Msg.GetHolder().GetName(), "err", err)
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

func (d *Allocator) pass(ctx context.Context, r *wire.AllotRequest) (*wire.AllotResponse, error) {
	r.Passed = true
	return d.Forwarder.ForwardAllot(ctx, r)
}

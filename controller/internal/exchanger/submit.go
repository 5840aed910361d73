package exchanger

import (
	"context"
	"net/netip"

	"connectrpc.com/connect"

	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

// Forward sends a command to the leader. It returns a NoLeaderError if none is known, in which case the command was not
// sent. After any other error the command may or may not have run.
func (x *Exchanger) Forward(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	client, err := x.leader()
	if err != nil {
		return nil, err
	}
	response, err := client.Submit(ctx, connect.NewRequest(&wire.SubmitRequest{Command: command}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetResult(), nil
}

// ForwardAllot sends a request for parts of quotas to the leader. It returns a NoLeaderError if none is known.
func (x *Exchanger) ForwardAllot(ctx context.Context, r *wire.AllotRequest) (*wire.AllotResponse, error) {
	client, err := x.leader()
	if err != nil {
		return nil, err
	}
	response, err := client.Allot(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// leader returns a client for calls to the leader, or a NoLeaderError if none is known.
func (x *Exchanger) leader() (wireconnect.ExchangeClient, error) {
	address, err := netip.ParseAddrPort(x.Consensus.Routing().LeaderAddress())
	if err != nil {
		return nil, &NoLeaderError{}
	}
	return wireconnect.NewExchangeClient(x.client, x.Dialer.URL(address)), nil
}

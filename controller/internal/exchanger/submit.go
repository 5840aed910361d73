package exchanger

import (
	"context"
	"net/netip"

	"connectrpc.com/connect"

	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

// Pass sends a command to the leading controller. After an error the command may or may not have run.
func (x *Exchanger) Pass(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	address, err := netip.ParseAddrPort(x.Mind.Routing().LeaderAddress())
	if err != nil {
		return nil, &LeaderlessError{}
	}
	client := wireconnect.NewExchangeClient(x.client, x.Dialer.URL(address))
	response, err := client.Submit(ctx, connect.NewRequest(&wire.SubmitRequest{Command: command}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetResult(), nil
}

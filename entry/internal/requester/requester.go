// Package requester calls whichever controller leads, and finds it again when that changes.
package requester

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	// callTimeout bounds one call, so that a frozen controller is left well within a lease.
	callTimeout = 500 * time.Millisecond
	claimCall   = time.Second
	pause       = 50 * time.Millisecond
)

// Requester is the client service. Set the exported fields before Start.
type Requester struct {
	Dialer      *dialer.Dialer
	Controllers []netip.AddrPort

	client  *http.Client
	mu      sync.Mutex
	clients map[netip.AddrPort]wireconnect.ControlClient
	current int
	leader  netip.AddrPort
}

// Name implements kernel.Service.
func (q *Requester) Name() string { return "requester" }

// Start makes the clients.
func (q *Requester) Start(context.Context, kernel.Finder) error {
	client, err := q.Dialer.Client()
	if err != nil {
		return err
	}
	q.client = client
	q.clients = map[netip.AddrPort]wireconnect.ControlClient{}
	for _, a := range q.Controllers {
		q.clients[a] = wireconnect.NewControlClient(client, q.Dialer.URL(a))
	}
	return nil
}

// Stop closes idle connections.
func (q *Requester) Stop(context.Context) error {
	if q.client != nil {
		q.client.CloseIdleConnections()
	}
	return nil
}

// Health implements kernel.Service.
func (q *Requester) Health() error { return nil }

// Renew sends one heartbeat to the leader, asking every controller once at most.
func (q *Requester) Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewResponse, error) {
	var last error
	for range q.Controllers {
		address, client := q.pick()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := client.Renew(call, connect.NewRequest(r))
		cancel()
		if err == nil {
			return response.Msg, nil
		}
		last = err
		q.turn(address, err)
	}
	return nil, last
}

// Claim asks for the right to run a request, again and again until ctx ends. The request carries its own
// token, so asking twice is harmless.
func (q *Requester) Claim(ctx context.Context, c *wire.Claim) (*wire.ClaimResult, error) {
	var result *wire.ClaimResult
	err := q.insist(ctx, func(call context.Context, client wireconnect.ControlClient) error {
		response, err := client.Claim(call, connect.NewRequest(&wire.ClaimRequest{Claim: c}))
		if err != nil {
			return err
		}
		result = response.Msg.GetResult()
		return nil
	})
	return result, err
}

// Settle records how a claimed request ended, again and again until ctx ends.
func (q *Requester) Settle(ctx context.Context, s *wire.Settle) error {
	return q.insist(ctx, func(call context.Context, client wireconnect.ControlClient) error {
		_, err := client.Settle(call, connect.NewRequest(&wire.SettleRequest{Settle: s}))
		return err
	})
}

func (q *Requester) insist(
	ctx context.Context, run func(context.Context, wireconnect.ControlClient) error,
) error {
	for {
		address, client := q.pick()
		call, cancel := context.WithTimeout(ctx, claimCall)
		err := run(call, client)
		cancel()
		if err == nil || connect.CodeOf(err) == connect.CodeInvalidArgument {
			return err
		}
		q.turn(address, err)
		select {
		case <-ctx.Done():
			return &UnreachableError{Cause: err}
		case <-time.After(pause):
		}
	}
}

func (q *Requester) pick() (netip.AddrPort, wireconnect.ControlClient) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if client, ok := q.clients[q.leader]; ok {
		return q.leader, client
	}
	address := q.Controllers[q.current%len(q.Controllers)]
	return address, q.clients[address]
}

// turn goes to the leader that a refusal names, or else to the next controller.
func (q *Requester) turn(asked netip.AddrPort, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	named := leaderOf(err)
	if named.IsValid() && named != asked {
		q.leader = named
		return
	}
	if q.leader == asked {
		q.leader = netip.AddrPort{}
	}
	q.current++
}

func leaderOf(err error) netip.AddrPort {
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return netip.AddrPort{}
	}
	for _, d := range failure.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		if detail, ok := value.(*wire.ErrorDetail); ok && detail.GetLeader() != "" {
			address, _ := netip.ParseAddrPort(detail.GetLeader())
			return address
		}
	}
	return netip.AddrPort{}
}

// UnreachableError says that no leading controller answered in time.
type UnreachableError struct {
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "no leading controller answered: " + e.Cause.Error()
}

// Unwrap returns the last failure.
func (e *UnreachableError) Unwrap() error { return e.Cause }

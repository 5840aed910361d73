// Package requester calls the leading controller, and finds the new leader after a change.
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
	// callTimeout bounds one call, so that there is time within a lease to switch away from a frozen controller.
	callTimeout      = 500 * time.Millisecond
	claimCallTimeout = time.Second
	retryDelay       = 50 * time.Millisecond
)

// Requester is the client of the controllers. Set the exported fields before Start.
type Requester struct {
	Dialer      *dialer.Dialer
	Controllers []netip.AddrPort

	client  *http.Client
	mu      sync.Mutex
	clients map[netip.AddrPort]wireconnect.ControlClient
	// next selects the controller to call while the leader is unknown.
	next   int
	leader netip.AddrPort
}

// Name implements kernel.Service.
func (q *Requester) Name() string { return "requester" }

// Start creates the client of each controller. It fails if the HTTP client can't be created.
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

// Renew sends one heartbeat to the leader. It makes at most as many calls as there are controllers, and returns the
// last error if all fail.
func (q *Requester) Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewResponse, error) {
	var last error
	for range q.Controllers {
		address, client := q.currentClient()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := client.Renew(call, connect.NewRequest(r))
		cancel()
		if err == nil {
			return response.Msg, nil
		}
		last = err
		q.switchController(address, err)
	}
	return nil, last
}

// Claim requests the right to run a request. It retries until ctx ends and then returns an UnreachableError; only an
// invalid claim fails immediately. Claims are idempotent, because each carries its own token.
func (q *Requester) Claim(ctx context.Context, c *wire.Claim) (*wire.ClaimResult, error) {
	var result *wire.ClaimResult
	err := q.retry(ctx, func(call context.Context, client wireconnect.ControlClient) error {
		response, err := client.Claim(call, connect.NewRequest(&wire.ClaimRequest{Claim: c}))
		if err != nil {
			return err
		}
		result = response.Msg.GetResult()
		return nil
	})
	return result, err
}

// Settle records the outcome of a claimed request. It retries until ctx ends and then returns an UnreachableError; only
// invalid arguments fail immediately.
func (q *Requester) Settle(ctx context.Context, s *wire.Settle) error {
	return q.retry(ctx, func(call context.Context, client wireconnect.ControlClient) error {
		_, err := client.Settle(call, connect.NewRequest(&wire.SettleRequest{Settle: s}))
		return err
	})
}

func (q *Requester) retry(
	ctx context.Context, run func(context.Context, wireconnect.ControlClient) error,
) error {
	for {
		address, client := q.currentClient()
		call, cancel := context.WithTimeout(ctx, claimCallTimeout)
		err := run(call, client)
		cancel()
		if err == nil || connect.CodeOf(err) == connect.CodeInvalidArgument {
			return err
		}
		q.switchController(address, err)
		select {
		case <-ctx.Done():
			return &UnreachableError{Cause: err}
		case <-time.After(retryDelay):
		}
	}
}

// currentClient returns the leader and its client, or, if the leader is unknown or not one of Controllers, those of the
// next controller.
func (q *Requester) currentClient() (netip.AddrPort, wireconnect.ControlClient) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if client, ok := q.clients[q.leader]; ok {
		return q.leader, client
	}
	address := q.Controllers[q.next%len(q.Controllers)]
	return address, q.clients[address]
}

// switchController switches to the leader that err reports, or else to the next controller.
func (q *Requester) switchController(called netip.AddrPort, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	reported := leaderOf(err)
	if reported.IsValid() && reported != called {
		q.leader = reported
		return
	}
	if q.leader == called {
		q.leader = netip.AddrPort{}
	}
	q.next++
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

// UnreachableError reports that no leading controller answered in time.
type UnreachableError struct {
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "no leading controller answered: " + e.Cause.Error()
}

// Unwrap returns the last failure.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Package server serves the calls of other controllers, entry instances and operators.
package server

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"chervilrail.example/controller/internal/consenter"
	"chervilrail.example/controller/internal/counter"
	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/dialer"
	"chervilrail.example/core/granter"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	// maxMessageBytes bounds one message between processes. A snapshot of a full ledger must fit.
	maxMessageBytes   = 128 << 20
	callTimeout       = 5 * time.Second
	maxChangeIDLength = 128
)

// Consensus is the replicated control state that the handlers use.
type Consensus interface {
	Deliver(ctx context.Context, messages []*wire.Message) error
	Propose(ctx context.Context, command *wire.Command) (*wire.Result, error)
	Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewResponse, error)
	Status(ctx context.Context) (*wire.StatusResponse, error)
	Get(ctx context.Context) (*wire.GetResponse, error)
}

// Exchanger shares targets and entry instances with the other controllers, and publishes changes to entry instances.
type Exchanger interface {
	Exchange(context.Context, *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error)
	Watch(context.Context, *connect.Request[wire.WatchRequest]) (*connect.Response[wire.WatchResponse], error)
	Tell(context.Context, *connect.Request[wire.TellRequest]) (*connect.Response[wire.TellResponse], error)
}

// Changer executes commands that other controllers forward.
type Changer interface {
	Submit(context.Context, *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error)
}

// Allocator allots parts of organisations' quotas to entry instances.
type Allocator interface {
	Allot(context.Context, *connect.Request[wire.AllotRequest]) (*connect.Response[wire.AllotResponse], error)
}

// exchangeService combines its parts into the handler of the exchange service.
type exchangeService struct {
	Exchanger
	Changer
	Allocator
}

// Server implements the three services of a controller. Set the exported fields before use.
type Server struct {
	Consensus Consensus
	Exchanger Exchanger
	Changer   Changer
	Allocator Allocator
	Counter   *counter.Counter
	// Token is the bearer token that operators must send. If it is empty, the operators' service is open to everyone.
	Token string
}

// Control returns the handler of the services for other controllers and entry instances.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	options := connect.WithHandlerOptions(
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(dialer.MinCompressedSize),
	)
	mux.Handle(wireconnect.NewReplicasHandler(s, options))
	mux.Handle(wireconnect.NewControlHandler(s, options))
	mux.Handle(wireconnect.NewExchangeHandler(exchangeService{s.Exchanger, s.Changer, s.Allocator}, options))
	return mux
}

// Operator returns a mux with the operators' service.
func (s *Server) Operator() *http.ServeMux {
	mux := http.NewServeMux()
	path, handler := wireconnect.NewOperateHandler(s, connect.WithReadMaxBytes(2*cataloguer.MaxSize))
	mux.Handle(path, s.authenticate(handler))
	return mux
}

// authenticate checks the operator token. It compares in constant time, since the duration of a comparison that stops
// at the first difference would show a caller how much of the token it has guessed.
func (s *Server) authenticate(next http.Handler) http.Handler {
	if s.Token == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(given), []byte(s.Token)) != 1 {
			_ = connect.NewErrorWriter().Write(w, r, connect.NewError(connect.CodeUnauthenticated, &tokenError{}))
			return
		}
		next.ServeHTTP(w, r)
	})
}

type tokenError struct{}

func (*tokenError) Error() string { return "the operator token is missing or wrong" }

// Deliver implements the call with which other controllers deliver the replicator's messages.
func (s *Server) Deliver(
	ctx context.Context, r *connect.Request[wire.DeliverRequest],
) (*connect.Response[wire.DeliverResponse], error) {
	s.Counter.Add(counter.Delivered, len(r.Msg.GetMessages()))
	if err := s.Consensus.Deliver(ctx, r.Msg.GetMessages()); err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&wire.DeliverResponse{}), nil
}

// Renew implements the entry instances' heartbeat.
func (s *Server) Renew(
	ctx context.Context, r *connect.Request[wire.RenewRequest],
) (*connect.Response[wire.RenewResponse], error) {
	if r.Msg.GetNode().GetName() == "" {
		return nil, invalidArgument("node.name", "a name")
	}
	response, err := s.Consensus.Renew(ctx, r.Msg)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(response), nil
}

// Claim implements claims of keys in the ledger.
func (s *Server) Claim(
	ctx context.Context, r *connect.Request[wire.ClaimRequest],
) (*connect.Response[wire.ClaimResponse], error) {
	c := r.Msg.GetClaim()
	if c.GetScope() == "" || c.GetKey() == "" || c.GetHolder() == "" {
		return nil, invalidArgument("claim", "scope, key and holder")
	}
	result, err := s.propose(ctx, &wire.Command{Claim: c})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.ClaimResponse{Result: result.GetClaim()}), nil
}

// Settle implements the settling of claims in the ledger.
func (s *Server) Settle(
	ctx context.Context, r *connect.Request[wire.SettleRequest],
) (*connect.Response[wire.SettleResponse], error) {
	result, err := s.propose(ctx, &wire.Command{Settle: r.Msg.GetSettle()})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.SettleResponse{Result: result.GetClaim()}), nil
}

// Apply implements changes of the catalogue.
func (s *Server) Apply(
	ctx context.Context, r *connect.Request[wire.ApplyRequest],
) (*connect.Response[wire.ApplyResponse], error) {
	c := r.Msg.GetChange()
	if c.GetId() == "" || len(c.GetId()) > maxChangeIDLength {
		return nil, invalidArgument("change.id", "1 to 128 characters")
	}
	if _, err := cataloguer.Parse("catalogue", c.GetCatalogue()); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	result, err := s.propose(ctx, &wire.Command{Change: c})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.ApplyResponse{Verdict: result.GetVerdict()}), nil
}

// Get implements reading the catalogue in force.
func (s *Server) Get(
	ctx context.Context, _ *connect.Request[wire.GetRequest],
) (*connect.Response[wire.GetResponse], error) {
	response, err := s.Consensus.Get(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(response), nil
}

// Status implements the operators' status overview.
func (s *Server) Status(
	ctx context.Context, _ *connect.Request[wire.StatusRequest],
) (*connect.Response[wire.StatusResponse], error) {
	response, err := s.Consensus.Status(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(response), nil
}

// propose proposes a command and waits for its result, for callTimeout at most.
func (s *Server) propose(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := s.Consensus.Propose(ctx, command)
	if err != nil {
		return nil, connectError(err)
	}
	return result, nil
}

func invalidArgument(field, expected string) error {
	return connect.NewError(connect.CodeInvalidArgument, &fieldError{field, expected})
}

type fieldError struct {
	field    string
	expected string
}

func (e *fieldError) Error() string { return e.field + ": expected " + e.expected }

// connectError gives each kind of error a code and a reason of its own, so that callers need not parse messages.
func connectError(err error) error {
	var notLeader *consenter.NotLeaderError
	var outcomeUnknown *consenter.OutcomeUnknownError
	var replaced *consenter.ProposalReplacedError
	var sequence *granter.SequenceError
	var wrongGroup *consenter.WrongGroupError
	switch {
	case errors.As(err, &notLeader):
		return errorWithDetail(connect.CodeFailedPrecondition, err, "leader", notLeader.Address)
	case errors.As(err, &outcomeUnknown):
		return errorWithDetail(connect.CodeUnknown, err, "unknown", "")
	case errors.As(err, &replaced):
		return errorWithDetail(connect.CodeAborted, err, "lost", "")
	case errors.As(err, &sequence):
		return errorWithDetail(connect.CodeOutOfRange, err, "sequence", "")
	case errors.As(err, &wrongGroup):
		return errorWithDetail(connect.CodePermissionDenied, err, "group", "")
	default:
		return errorWithDetail(connect.CodeUnavailable, err, "stalled", "")
	}
}

// errorWithDetail returns an error with a reason and, if it is known, the leader's address.
func errorWithDetail(code connect.Code, err error, reason, leader string) error {
	out := connect.NewError(code, err)
	if d, detailErr := connect.NewErrorDetail(&wire.ErrorDetail{Reason: reason, Leader: leader}); detailErr == nil {
		out.AddDetail(d)
	}
	return out
}

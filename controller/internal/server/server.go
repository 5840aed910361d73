// Package server offers the control service to other controllers, entry instances and operators.
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
	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/dialer"
	"chervilrail.example/core/granter"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	// maxMessage bounds one message between processes; a snapshot of a full ledger must fit.
	maxMessage  = 128 << 20
	callTimeout = 5 * time.Second
	maxID       = 128
)

// Mind is what the handlers need of the control service.
type Mind interface {
	Deliver(ctx context.Context, messages []*wire.Message) error
	Propose(ctx context.Context, command *wire.Command) (*wire.Result, error)
	Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewResponse, error)
	Status(ctx context.Context) (*wire.StatusResponse, error)
	Get(ctx context.Context) (*wire.GetResponse, error)
}

// Exchanger shares targets and entry instances with the other controllers, and tells entry instances.
type Exchanger interface {
	Exchange(context.Context, *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error)
	Watch(context.Context, *connect.Request[wire.WatchRequest]) (*connect.Response[wire.WatchResponse], error)
	Tell(context.Context, *connect.Request[wire.TellRequest]) (*connect.Response[wire.TellResponse], error)
}

// Changer runs commands that another controller passed on.
type Changer interface {
	Submit(context.Context, *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error)
}

// Divider gives entry instances parts of organisations' quotas.
type Divider interface {
	Allot(context.Context, *connect.Request[wire.AllotRequest]) (*connect.Response[wire.AllotResponse], error)
}

// exchange joins them into the service that is called.
type exchange struct {
	Exchanger
	Changer
	Divider
}

// Server implements the three services of a controller.
type Server struct {
	Mind      Mind
	Exchanger Exchanger
	Changer   Changer
	Divider   Divider
	// Token guards the operators' service; an empty one leaves it open.
	Token string
}

// Control returns the handler for other processes.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	options := connect.WithHandlerOptions(
		connect.WithReadMaxBytes(maxMessage),
		connect.WithCompressMinBytes(dialer.MinCompressedSize),
	)
	mux.Handle(wireconnect.NewReplicasHandler(s, options))
	mux.Handle(wireconnect.NewControlHandler(s, options))
	mux.Handle(wireconnect.NewExchangeHandler(exchange{s.Exchanger, s.Changer, s.Divider}, options))
	return mux
}

// Operator returns a mux with the operators' service.
func (s *Server) Operator() *http.ServeMux {
	mux := http.NewServeMux()
	path, handler := wireconnect.NewOperateHandler(s, connect.WithReadMaxBytes(2*cataloguer.MaxSize))
	mux.Handle(path, s.guard(handler))
	return mux
}

// guard compares in constant time: the time of an early exit would tell a caller how much it guessed.
func (s *Server) guard(next http.Handler) http.Handler {
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

// Deliver implements the service between controllers.
func (s *Server) Deliver(
	ctx context.Context, r *connect.Request[wire.DeliverRequest],
) (*connect.Response[wire.DeliverResponse], error) {
	if err := s.Mind.Deliver(ctx, r.Msg.GetMessages()); err != nil {
		return nil, translate(err)
	}
	return connect.NewResponse(&wire.DeliverResponse{}), nil
}

// Renew implements the entry instances' heartbeat.
func (s *Server) Renew(
	ctx context.Context, r *connect.Request[wire.RenewRequest],
) (*connect.Response[wire.RenewResponse], error) {
	if r.Msg.GetNode().GetName() == "" {
		return nil, invalid("node.name", "a name")
	}
	response, err := s.Mind.Renew(ctx, r.Msg)
	if err != nil {
		return nil, translate(err)
	}
	return connect.NewResponse(response), nil
}

// Claim implements the ledger's claims.
func (s *Server) Claim(
	ctx context.Context, r *connect.Request[wire.ClaimRequest],
) (*connect.Response[wire.ClaimResponse], error) {
	c := r.Msg.GetClaim()
	if c.GetScope() == "" || c.GetKey() == "" || c.GetHolder() == "" {
		return nil, invalid("claim", "scope, key and holder")
	}
	result, err := s.propose(ctx, &wire.Command{Claim: c})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.ClaimResponse{Result: result.GetClaim()}), nil
}

// Settle implements the end of a claim.
func (s *Server) Settle(
	ctx context.Context, r *connect.Request[wire.SettleRequest],
) (*connect.Response[wire.SettleResponse], error) {
	result, err := s.propose(ctx, &wire.Command{Settle: r.Msg.GetSettle()})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.SettleResponse{Result: result.GetClaim()}), nil
}

// Apply implements a change of the catalogue.
func (s *Server) Apply(
	ctx context.Context, r *connect.Request[wire.ApplyRequest],
) (*connect.Response[wire.ApplyResponse], error) {
	c := r.Msg.GetChange()
	if c.GetId() == "" || len(c.GetId()) > maxID {
		return nil, invalid("change.id", "1 to 128 characters")
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
	response, err := s.Mind.Get(ctx)
	if err != nil {
		return nil, translate(err)
	}
	return connect.NewResponse(response), nil
}

// Status implements the operators' overview.
func (s *Server) Status(
	ctx context.Context, _ *connect.Request[wire.StatusRequest],
) (*connect.Response[wire.StatusResponse], error) {
	response, err := s.Mind.Status(ctx)
	if err != nil {
		return nil, translate(err)
	}
	return connect.NewResponse(response), nil
}

func (s *Server) propose(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := s.Mind.Propose(ctx, command)
	if err != nil {
		return nil, translate(err)
	}
	return result, nil
}

func invalid(field, expected string) error {
	return connect.NewError(connect.CodeInvalidArgument, &fieldError{field, expected})
}

type fieldError struct {
	field    string
	expected string
}

func (e *fieldError) Error() string { return e.field + ": expected " + e.expected }

// translate gives each kind of refusal its own code and reason, so that callers never read messages.
func translate(err error) error {
	var leader *consenter.NotLeaderError
	var unknown *consenter.OutcomeUnknownError
	var lost *consenter.ProposalReplacedError
	var sequence *granter.SequenceError
	var group *consenter.WrongGroupError
	switch {
	case errors.As(err, &leader):
		return detail(connect.CodeFailedPrecondition, err, "leader", leader.Address)
	case errors.As(err, &unknown):
		return detail(connect.CodeUnknown, err, "unknown", "")
	case errors.As(err, &lost):
		return detail(connect.CodeAborted, err, "lost", "")
	case errors.As(err, &sequence):
		return detail(connect.CodeOutOfRange, err, "sequence", "")
	case errors.As(err, &group):
		return detail(connect.CodePermissionDenied, err, "group", "")
	default:
		return detail(connect.CodeUnavailable, err, "stalled", "")
	}
}

func detail(code connect.Code, err error, reason, leader string) error {
	out := connect.NewError(code, err)
	if d, detailErr := connect.NewErrorDetail(&wire.ErrorDetail{Reason: reason, Leader: leader}); detailErr == nil {
		out.AddDetail(d)
	}
	return out
}

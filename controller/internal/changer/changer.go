// Package changer takes operators' changes of the routing state on any controller: it proposes them here if this
// controller leads, and passes them on to the leader otherwise.
package changer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/controller/internal/consenter"
	"chervilrail.example/core/listener"
	"chervilrail.example/core/planner"
	"chervilrail.example/core/wire"
)

// timeout bounds one change. It covers a change of leader, about two seconds, so that most changes sent meanwhile
// are answered by the call that brought them.
const timeout = 3 * time.Second

// Mind proposes commands where this controller leads.
type Mind interface {
	Propose(ctx context.Context, command *wire.Command) (*wire.Result, error)
}

// Passer sends commands to the leader.
type Passer interface {
	Pass(ctx context.Context, command *wire.Command) (*wire.Result, error)
}

// Changer serves operators. Set the exported fields before use.
type Changer struct {
	Mind   Mind
	Passer Passer
	Logger log.Logger
}

// Change puts a new routing plan in force. Without an error the verdict is final; after an error the change may or
// may not come into force, and its sender asks again.
func (c *Changer) Change(ctx context.Context, change *wire.PlanChange) (*wire.PlanVerdict, error) {
	if change.GetPatch() == nil {
		if fault := planner.Check(change.GetPlan()); fault != nil {
			// A plan that can't be put in force needs no place in the log to be refused.
			return invalid(fault), nil
		}
	}
	result, err := c.run(ctx, "change", &wire.Command{Plan: change})
	if err != nil {
		return nil, err
	}
	return result.GetPlan(), nil
}

func invalid(fault error) *wire.PlanVerdict {
	return &wire.PlanVerdict{Outcome: wire.PlanOutcome_PLAN_INVALID, Reason: fault.Error()}
}

// Read returns the newest routing plan for certain, or nil before the first. A leader that was suspended or cut off
// can't tell by its own clock whether it still leads, so each read takes a place in the log.
func (c *Changer) Read(ctx context.Context) (*wire.Plan, error) {
	result, err := c.run(ctx, "read", &wire.Command{Read: true})
	if err != nil {
		return nil, err
	}
	return result.GetCurrent(), nil
}

// Evacuate keeps requests away from the targets of an availability zone, or ends that.
func (c *Changer) Evacuate(ctx context.Context, zone string, on bool) error {
	_, err := c.run(ctx, "evacuate", &wire.Command{Evacuation: &wire.Evacuation{Zone: zone, On: on}})
	return err
}

func (c *Changer) run(ctx context.Context, what string, command *wire.Command) (*wire.Result, error) {
	if listener.CallerDisconnected(ctx) {
		return nil, c.unwanted(what)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := c.Mind.Propose(ctx, command)
	var leader *consenter.NotLeaderError
	if errors.As(err, &leader) {
		result, err = c.Passer.Pass(ctx, command)
	}
	if err != nil {
		_ = level.Warn(c.Logger).Log("msg", "command not answered", "command", what, "err", err)
		return nil, err
	}
	return result, nil
}

// unwanted refuses a command whose caller has gone. It sent the command again elsewhere, and may have sent others since:
// carried out now, an order would undo a later one that was acknowledged.
func (c *Changer) unwanted(what string) error {
	err := &LeftError{Command: what}
	_ = level.Warn(c.Logger).Log("msg", "command not carried out", "command", what, "err", err)
	return err
}

// LeftError says that a command was not carried out, for its caller had gone before.
type LeftError struct {
	Command string
}

// Error implements error.
func (e *LeftError) Error() string { return "the caller of " + e.Command + " has gone" }

// Submit implements the call from other controllers.
func (c *Changer) Submit(
	ctx context.Context, r *connect.Request[wire.SubmitRequest],
) (*connect.Response[wire.SubmitResponse], error) {
	if listener.CallerDisconnected(ctx) {
		return nil, connect.NewError(connect.CodeCanceled, c.unwanted("submit"))
	}
	result, err := c.Mind.Propose(ctx, r.Msg.GetCommand())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wire.SubmitResponse{Result: result}), nil
}

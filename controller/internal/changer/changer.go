// Package changer applies operators' changes of the routing state. Any controller accepts them: the leader proposes
// them itself, others forward them to it.
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

// commandTimeout bounds one command. It covers a change of leader, which takes about two seconds, so that most commands
// sent meanwhile are answered without a retry by the caller.
const commandTimeout = 3 * time.Second

// forwardPatience is how long a forwarded command goes without an answer before a second copy is sent over another
// connection: longer than a leader takes whose own calls are answered.
const forwardPatience = 1200 * time.Millisecond

// Consensus proposes commands if this controller is the leader, and returns a consenter.NotLeaderError otherwise.
type Consensus interface {
	Propose(ctx context.Context, command *wire.Command) (*wire.Result, error)
}

// Forwarder sends commands to the leader.
type Forwarder interface {
	Forward(ctx context.Context, command *wire.Command) (*wire.Result, error)
}

// Changer executes operators' commands. Set the exported fields before use.
type Changer struct {
	Consensus Consensus
	Forwarder Forwarder
	Logger    log.Logger
}

// Change puts a new routing plan in force. Without an error the verdict is final. After an error the change may or may
// not come into force, and the caller has to retry it.
func (c *Changer) Change(ctx context.Context, change *wire.PlanChange) (*wire.PlanVerdict, error) {
	if change.GetPatch() == nil {
		if fault := planner.Check(change.GetPlan()); fault != nil {
			// An invalid plan is refused without an entry in the log.
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

// Read returns the newest routing plan, or nil if there is none yet. The read is linearizable: since a leader that was
// suspended or disconnected can't tell by its own clock whether it still leads, each read takes an entry in the log.
func (c *Changer) Read(ctx context.Context) (*wire.Plan, error) {
	result, err := c.run(ctx, "read", &wire.Command{Read: true})
	if err != nil {
		return nil, err
	}
	return result.GetCurrent(), nil
}

// Evacuate keeps requests away from the targets of an availability zone if on is true, and ends that otherwise. After
// an error the command may or may not take effect, and the caller has to retry it.
func (c *Changer) Evacuate(ctx context.Context, zone string, on bool) error {
	_, err := c.run(ctx, "evacuate", &wire.Command{Evacuation: &wire.Evacuation{Zone: zone, On: on}})
	return err
}

// run executes a command, here or at the leader. The name is for logs and errors.
func (c *Changer) run(ctx context.Context, name string, command *wire.Command) (*wire.Result, error) {
	if listener.CallerDisconnected(ctx) {
		return nil, c.refuseDisconnected(name)
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	result, err := c.Consensus.Propose(ctx, command)
	var notLeader *consenter.NotLeaderError
	if errors.As(err, &notLeader) {
		result, err = c.forward(ctx, command)
	}
	if err != nil {
		_ = level.Warn(c.Logger).Log("msg", "command not answered", "command", name, "err", err)
		return nil, err
	}
	return result, nil
}

// forward sends a command to the leader, and a second copy if there is no answer for a while: the connection may have gone
// silent, and the caller would wait for nothing. Commands have the same effect twice as once while their caller waits. The
// first result decides; an error of one copy does not, as the other may still take effect.
func (c *Changer) forward(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	results, pending := make(chan forwarded, maxCopies), 0
	send := func() {
		pending++
		go func() {
			result, err := c.Forwarder.Forward(ctx, command)
			results <- forwarded{result, err}
		}()
	}
	send()
	again := time.NewTimer(forwardPatience)
	defer again.Stop()
	for {
		select {
		case f := <-results:
			pending--
			if f.err == nil || pending == 0 {
				return f.result, f.err
			}
		case <-again.C:
			_ = level.Warn(c.Logger).Log("msg", "leader does not answer, command sent again", "after", forwardPatience)
			send()
		}
	}
}

// maxCopies is how many copies of a command are forwarded at most.
const maxCopies = 2

// forwarded is the outcome of one copy of a forwarded command.
type forwarded struct {
	result *wire.Result
	err    error
}

// refuseDisconnected refuses a command whose caller has disconnected. The caller retries the command elsewhere and may
// have sent later ones since; executed now, the old command could undo a later one that was acknowledged.
func (c *Changer) refuseDisconnected(name string) error {
	err := &DisconnectedError{Command: name}
	_ = level.Warn(c.Logger).Log("msg", "command not carried out", "command", name, "err", err)
	return err
}

// DisconnectedError reports that a command was not executed because its caller had disconnected before.
type DisconnectedError struct {
	Command string
}

// Error implements error.
func (e *DisconnectedError) Error() string { return "the caller of " + e.Command + " has gone" }

// Submit implements the call of other controllers that forward a command. It refuses the command with the code canceled
// if the caller has disconnected, and with unavailable if it can't be proposed here.
func (c *Changer) Submit(
	ctx context.Context, r *connect.Request[wire.SubmitRequest],
) (*connect.Response[wire.SubmitResponse], error) {
	if listener.CallerDisconnected(ctx) {
		return nil, connect.NewError(connect.CodeCanceled, c.refuseDisconnected("submit"))
	}
	result, err := c.Consensus.Propose(ctx, r.Msg.GetCommand())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wire.SubmitResponse{Result: result}), nil
}

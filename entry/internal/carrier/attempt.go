package carrier

import (
	"context"
	"errors"
	"net/http"
	"time"

	"chervilrail.example/core/messenger"
	"chervilrail.example/core/placer"
	"chervilrail.example/entry/internal/pooler"
)

// attemptState is what is known about the execution of an attempt. The values rise with the uncertainty; of several
// failed attempts, the highest value counts.
type attemptState int

const (
	// answered: a complete answer was received that may be forwarded to the caller.
	answered attemptState = iota
	// withdrawn: nothing of the request left this instance, because the decision for the target no longer held.
	withdrawn
	// unsent: nothing of the request left this instance.
	unsent
	// notExecuted: the target reported that it did not execute the request.
	notExecuted
	// unknown: the target may have executed the request.
	unknown
)

// attempt sends the request to one target, on which it already holds a slot.
func (c *Carrier) attempt(j *job, svc *serviceState, decision placer.Decision) (result, attemptState) {
	target := &decision.Spec
	// A target other than the object's host was chosen because the host has no free slot; it is no hint of where to
	// send the object's next request.
	if j.place.Target == "" || j.place.Target == target.Name {
		svc.recordTarget(j.object, target.Name)
	}
	j.target, j.region = target.Name, target.Region
	start := time.Now()
	ctx, cancel := c.attemptContext(j)
	defer cancel()
	warm, cold := c.routes.expected(j.route)
	running := c.overdue.begin(start, target.Name, warm, cold)
	defer c.overdue.end(running)
	answer, sendOutcome, err := c.Sender.Send(ctx, target.Address, c.outgoing(j, svc, decision, start))
	if withheld := (*pooler.WithheldError)(nil); errors.As(err, &withheld) {
		c.recordWithheld(j, svc, decision, withheld)
		return result{}, withdrawn
	}
	if sendOutcome != pooler.Unsent {
		j.sends++
	}
	var reply messenger.Reply
	if sendOutcome == pooler.Answered {
		reply = c.Codec.Reply(answer.Status, answer.Header, time.Now())
	}
	out, state := c.classify(j, answer, reply, sendOutcome)
	outcome := placer.Outcome{Failed: true}
	if state == answered {
		outcome = c.recordAnswer(j, target, answer.Status, start)
	}
	if sendOutcome == pooler.Answered {
		outcome.Load = c.recordReply(j, svc, decision, start, answer.Status, reply)
	}
	if err != nil {
		outcome.Unreachable = ctx.Err() == nil
		c.recordLoss(j, target, loss{
			sendOutcome: sendOutcome, err: err, cancelled: ctx.Err() != nil, took: time.Since(start),
		})
	}
	svc.done(decision.Target, outcome)
	return out, state
}

// attemptContext returns the context of an attempt, which ends answerMargin after the request's deadline, and when the last
// answers are due in a planned stop. An idempotent request is cancelled when its caller disconnects; any other continues,
// because cancelling it halfway would leave the caller uncertain whether, for example, a booking was made.
func (c *Carrier) attemptContext(j *job) (context.Context, context.CancelFunc) {
	parent := j.request.Context()
	if !j.route.GetIdempotent() {
		parent = context.WithoutCancel(parent)
	}
	leaving, leave := c.departure.Attempt(parent)
	ctx, cancel := context.WithDeadline(leaving, j.deadline.Add(answerMargin))
	return ctx, func() {
		cancel()
		leave()
	}
}

func (c *Carrier) outgoing(j *job, svc *serviceState, decision placer.Decision, now time.Time) *pooler.Request {
	target := &decision.Spec
	header := j.request.Header.Clone()
	messenger.RemoveHopHeaders(header)
	header.Del("Content-Length")
	c.Codec.SetTargetHeaders(header, messenger.Destination{
		Target: target.Name, Organisation: j.organisation.GetName(), Deadline: j.deadline,
	}, now)
	return &pooler.Request{
		Method:   j.request.Method,
		Path:     j.path(),
		Host:     j.request.Host,
		Header:   header,
		Body:     j.payload(),
		Withhold: func() string { return c.withhold(j, svc, decision.Target) },
		Matches:  func(h http.Header) bool { return c.Codec.Reply(http.StatusOK, h, now).ID == j.call.ID },
	}
}

// withhold reports why a request must not be sent to the target that was chosen for it, empty if it may: the process may
// have begun to leave, or the target to drain, while a connection was opened.
func (c *Carrier) withhold(j *job, svc *serviceState, t *placer.Target) string {
	if !c.departure.Admits(j.deadline) {
		return "stopping"
	}
	return svc.withhold(t)
}

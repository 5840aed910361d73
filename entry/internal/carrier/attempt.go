package carrier

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/messenger"
	"chervilrail.example/core/placer"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/core/wire"
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

// dispatch makes attempts until a request has a final result. It returns the result and what is known about the
// request's execution over all attempts.
func (c *Carrier) dispatch(j *job) (result, attemptState) {
	svc := c.serviceState(j.service)
	svc.countRequest(j.started)
	var tried []string
	worst := unsent
	for {
		decision, present := c.admit(j, svc, tried)
		j.queueTime = time.Since(j.started)
		if !present && c.departure.Admits(j.deadline) {
			return callerDisconnected(), worst
		}
		if !present {
			return c.failure(j, worst), worst
		}
		if decision.Target == nil && worst != unknown {
			return refuse(http.StatusServiceUnavailable, decision.Reason, decision.Retry), worst
		}
		if decision.Target == nil {
			return c.failure(j, worst), worst
		}
		out, state := c.attempt(j, svc, decision)
		if state == answered {
			return out, answered
		}
		if state == withdrawn {
			continue
		}
		tried = append(tried, decision.Spec.Name)
		// The least certain attempt decides what is reported: if one attempt may have been executed, a later one that
		// was not does not change that.
		worst = max(worst, state)
		if !c.mayRetry(j, svc, state) {
			return c.failure(j, worst), worst
		}
	}
}

// admit waits for the decision to which target a request is sent; false means that it is not sent, as its caller has
// disconnected or as it may outlast the stop of the process.
func (c *Carrier) admit(j *job, svc *serviceState, tried []string) (placer.Decision, bool) {
	if !c.departure.Admits(j.deadline) {
		return placer.Decision{}, false
	}
	ctx, cancel := c.departure.Admission(j.request.Context(), j.deadline)
	defer cancel()
	ticket := c.ticket(ctx, j, svc, tried)
	if ctx.Err() != nil {
		return placer.Decision{}, false
	}
	return svc.admit(ctx, ticket)
}

func (c *Carrier) ticket(ctx context.Context, j *job, svc *serviceState, tried []string) *placer.Ticket {
	warm, cold := c.routes.expected(j.route)
	j.place = c.locate(ctx, j, svc, cold)
	return &placer.Ticket{
		Host:           j.place.Target,
		WarmAt:         j.place.WarmAt,
		FirstRun:       j.place.FirstRun,
		Key:            j.object,
		CallerPriority: j.organisation.GetPriority(),
		Priority:       j.route.GetPriority(),
		SoftDeadline:   j.started.Add(time.Duration(j.route.GetAim())),
		Deadline:       j.deadline,
		WarmTime:       warm,
		ColdTime:       cold,
		Tried:          tried,
		Regions:        j.regions,
		Decided:        make(chan placer.Decision, 1),
	}
}

// locate returns the target that keeps the request's object warm; the place is empty if there is none, or once ctx ends.
func (c *Carrier) locate(ctx context.Context, j *job, svc *serviceState, cold time.Duration) placer.Assignment {
	j.object = j.objectName()
	if j.object == "" {
		return placer.Assignment{}
	}
	started := time.Now()
	if place, ok := svc.knownPlace(started, j.object, j.regions); ok {
		return place
	}
	if len(j.organisation.GetRegions()) > 0 {
		j.object = j.regionBoundName(j.object)
		if place, ok := svc.knownPlace(started, j.object, j.regions); ok {
			return place
		}
	}
	place := c.Locator.Locate(ctx, j.view.Peers, j.service, placer.AssignRequest{
		Object: j.object, Route: j.route.GetName(), Hint: svc.lastTarget(j.object), ColdTime: cold, Regions: j.regions,
	})
	j.locateTime = time.Since(started)
	svc.cachePlace(time.Now(), j.object, place)
	return place
}

// maxLossesForRetry is the number of targets that may have failed while executing a request that is still retried. A
// single failure is mostly not caused by the request, and without a retry the caller would miss an answer that the next
// target can give.
const maxLossesForRetry = 1

// mayRetry reports whether a request is sent again after an attempt with the given state. A request that may have been
// executed is retried only if it is idempotent. A retry after an attempt that reached a target is charged to the retry
// budget, because all instances together may repeat only a fraction of their requests.
func (c *Carrier) mayRetry(j *job, svc *serviceState, state attemptState) bool {
	now := time.Now()
	if !now.Before(j.deadline) || j.request.Context().Err() != nil || !c.departure.Admits(j.deadline) {
		return false
	}
	switch state {
	case unsent:
		return true
	case unknown:
		if !j.route.GetIdempotent() || c.Quarantine.Losses(now, j.fingerprint) > maxLossesForRetry {
			return false
		}
	case notExecuted, answered, withdrawn:
	}
	return j.sends < int(max(1, j.route.GetAttempts())) && svc.spendRetry(now, j.view.InstanceCount)
}

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

// recordAnswer records the service time of a request that was sent at a given time and answered, and returns its outcome.
func (c *Carrier) recordAnswer(j *job, target *placer.Spec, status int, sent time.Time) placer.Outcome {
	took := time.Since(sent)
	if target.Region != c.Region {
		took = max(0, took-regionRoundTrip)
	}
	out := placer.Outcome{
		ResponseTime: took, ExpectedTime: c.routes.meanServiceTime(j.route, took),
		Failed: status >= http.StatusInternalServerError,
	}
	c.routes.recordServiceTime(j.route, took)
	c.clearSuspicion(sent, j)
	return out
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

// classify returns the result and the state of an attempt from its answer.
func (c *Carrier) classify(
	j *job, a *pooler.Answer, reply messenger.Reply, sendOutcome pooler.Outcome,
) (result, attemptState) {
	switch sendOutcome {
	case pooler.Unsent:
		return result{}, unsent
	case pooler.Broken:
		return result{}, unknown
	case pooler.Answered:
	}
	if reply.Unrun {
		return result{}, notExecuted
	}
	success := a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
	if success && (!reply.Signed || a.Header.Get("Content-Encoding") != "") {
		return result{}, unknown
	}
	if impliesNotExecuted(a.Status) && !j.route.GetIdempotent() {
		// If forwarded, these statuses would tell the caller that the request was not executed, which the target did
		// not report.
		return result{}, unknown
	}
	return result{status: a.Status, answer: a, reason: "answered"}, answered
}

// impliesNotExecuted reports whether a status tells a caller that its request was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// clearSuspicion removes a request that succeeded from the suspects of all entry instances.
func (c *Carrier) clearSuspicion(now time.Time, j *job) {
	if c.Quarantine.RecordSuccess(now, j.fingerprint) {
		c.Views.ReportLoss(&wire.Loss{Fingerprint: j.fingerprint[:], Success: true, Incarnation: rand.Uint64()})
	}
}

// loss describes an attempt without an answer.
type loss struct {
	sendOutcome pooler.Outcome
	err         error
	// cancelled is set if the attempt's context had ended: its deadline had passed or its caller had disconnected.
	cancelled bool
	took      time.Duration
}

// unacknowledged returns how many bytes of the request the target's TCP stack had not acknowledged.
func (l *loss) unacknowledged() int {
	var undelivered *pooler.UndeliveredError
	if errors.As(l.err, &undelivered) {
		return undelivered.Bytes
	}
	return 0
}

// recordLoss logs and counts a failed attempt and closes the idle connections to its target. If the target may have
// crashed while executing the request, it records the loss and reports it to all entry instances.
func (c *Carrier) recordLoss(j *job, target *placer.Spec, l loss) {
	_ = level.Info(c.Logger).Log("msg", "attempt failed", "id", j.call.ID, "target", target.Name, "zone", target.Zone,
		"sent", l.sendOutcome != pooler.Unsent, "late", l.cancelled, "took", l.took,
		"held", l.unacknowledged(), "err", l.err)
	if l.unacknowledged() > 0 {
		c.Metrics.undelivered.WithLabelValues(j.service).Inc()
	}
	c.Sender.CloseIdle(target.Address)
	// A target that has not received the whole request does not execute it, and did not crash because of it.
	if l.sendOutcome != pooler.Broken || l.cancelled || l.unacknowledged() > 0 {
		return
	}
	run := quarantiner.Run{Target: target.Name, Incarnation: target.Incarnation}
	if c.Quarantine.RecordLoss(time.Now(), j.fingerprint, run) {
		c.Views.ReportLoss(&wire.Loss{Fingerprint: j.fingerprint[:], Target: target.Name, Incarnation: target.Incarnation})
	}
}

// failedRetryDelay is the delay after which a caller should retry a request that no target executed.
const failedRetryDelay = 100 * time.Millisecond

// failure returns the final result of a request that no target answered.
func (c *Carrier) failure(j *job, state attemptState) result {
	now := time.Now()
	if state != unknown && !c.departure.Admits(j.deadline) {
		return *c.refuseLeaving(j)
	}
	if state != unknown {
		return refuse(http.StatusServiceUnavailable, "failed", now.Add(failedRetryDelay))
	}
	if !now.Before(j.deadline) {
		return refuse(http.StatusGatewayTimeout, "timeout", time.Time{})
	}
	if c.departure.Ended() {
		return refuse(http.StatusGatewayTimeout, "leaving", time.Time{})
	}
	return refuse(http.StatusBadGateway, "broken", time.Time{})
}

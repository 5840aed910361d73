package carrier

import (
	"context"
	"net/http"
	"time"

	"chervilrail.example/core/placer"
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

package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/retrier"
	"chervilrail.example/core/stopper"
	"chervilrail.example/entry/internal/refuser"
)

// Leave tells that the process leaves. Requests that may outlast the stop are refused from now on, unless they are at a
// target already; those have a final answer at the deadline End.
func (f *Forwarder) Leave(deadlines stopper.Deadlines) {
	f.leaving.Leave(deadlines)
	_ = level.Info(f.Logger).Log("msg", "requests end with the stop", "running", f.Running(), "left", f.leaving.Left())
}

// refuseLeaving returns the refusal of a request that is not sent to a target, as it may outlast the stop.
func (f *Forwarder) refuseLeaving(now time.Time) *refuser.Refusal {
	return refuse(http.StatusServiceUnavailable, "leaving", "this instance leaves before the request's time is over",
		now.Add(time.Second))
}

// leavingRefusal returns the final answer to a request that ends without one of a target because the process leaves, or nil
// if that is not why.
func (f *Forwarder) leavingRefusal(now time.Time, j *job, ending retrier.Ending) *refuser.Refusal {
	if ending == retrier.Unrun {
		if f.leaving.Admits(j.deadline) {
			return nil
		}
		return f.refuseLeaving(now)
	}
	if !f.leaving.Ended() {
		return nil
	}
	return &refuser.Refusal{
		Status:  http.StatusGatewayTimeout,
		Title:   http.StatusText(http.StatusGatewayTimeout),
		Detail:  "this instance left before the target answered; the request may have run",
		Outcome: refuser.Unknown,
		Reason:  "leaving",
	}
}

// awaitStored waits until an outcome is stored, but not beyond the time for the last answers.
func (f *Forwarder) awaitStored(stored <-chan struct{}) {
	ctx, cancel := f.leaving.Attempt(context.Background())
	defer cancel()
	select {
	case <-stored:
	case <-ctx.Done():
	}
}

package carrier

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/stopper"
)

// errLeaving is the cause of contexts that end because the process leaves.
var errLeaving = errors.New("the process leaves")

// departure is the planned stop of the process, as far as it concerns requests.
type departure struct {
	// begun ends when the process begins to leave, ended when its last request has to have an answer.
	begun, ended context.Context
	begin, end   context.CancelFunc
	deadlines    stopper.Deadlines
}

func newDeparture() *departure {
	d := &departure{}
	d.begun, d.begin = context.WithCancel(context.Background())
	d.ended, d.end = context.WithCancel(context.Background())
	return d
}

// admits reports whether a request with a deadline may be sent to a target. Once the process leaves, only a request that
// can't outlast the stop may: one that is broken off may have run, and its caller may not be allowed to repeat it.
func (d *departure) admits(deadline time.Time) bool {
	return d.begun.Err() == nil || !deadline.After(d.deadlines.End)
}

// age returns how long the process had been leaving at a time; zero if it was not.
func (d *departure) age(at time.Time) time.Duration {
	if d.begun.Err() == nil {
		return 0
	}
	return max(0, at.Sub(d.deadlines.Began))
}

// admission returns a context that ends with parent, and with the cause errLeaving once a request with a deadline may no
// longer be sent to a target.
func (d *departure) admission(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return endWith(parent, d.begun, func() bool { return !d.admits(deadline) })
}

// attempt returns a context that ends with parent, and with the cause errLeaving when the last answers are due.
func (d *departure) attempt(parent context.Context) (context.Context, context.CancelFunc) {
	return endWith(parent, d.ended, func() bool { return true })
}

// endWith returns a context that ends with parent, and with the cause errLeaving once other has ended, if that applies.
func endWith(parent, other context.Context, applies func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(other, func() {
		if applies() {
			cancel(errLeaving)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// leavingEnds reports whether a context has ended because the process leaves.
func leavingEnds(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errLeaving) }

// Leave tells that the process leaves. Requests that may outlast the stop are refused from now on, unless they are at a
// target already; those have a final answer at the deadline End.
func (c *Carrier) Leave(deadlines stopper.Deadlines) {
	c.departure.deadlines = deadlines
	c.departure.begin()
	c.stopping.Store(true)
	time.AfterFunc(time.Until(deadlines.End), c.departure.end)
	_ = level.Info(c.Logger).Log("msg", "requests end with the stop", "running", c.running.Load(), "left",
		time.Until(deadlines.End))
}

// refuseLeaving returns the result of a request that is not sent to a target, as the process leaves.
func (c *Carrier) refuseLeaving(j *job) *result {
	_ = level.Info(c.Logger).Log("msg", "request would outlast the stop", "id", j.call.ID, "limit", time.Until(j.deadline),
		"left", time.Until(c.departure.deadlines.End), "age", time.Since(j.started))
	out := refuse(http.StatusServiceUnavailable, "leaving", time.Now().Add(failedRetryDelay))
	return &out
}

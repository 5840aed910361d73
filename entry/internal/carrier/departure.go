package carrier

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/stopper"
)

// Leave tells that the process leaves. Requests that may outlast the stop are refused from now on, unless they are at a
// target already; those have a final answer at the deadline End.
func (c *Carrier) Leave(deadlines stopper.Deadlines) {
	c.departure.Leave(deadlines)
	c.stopping.Store(true)
	_ = level.Info(c.Logger).Log("msg", "requests end with the stop", "running", c.running.Load(), "left",
		c.departure.Left())
}

// refuseLeaving returns the result of a request that is not sent to a target, as the process leaves.
func (c *Carrier) refuseLeaving(j *job) *result {
	_ = level.Info(c.Logger).Log("msg", "request would outlast the stop", "id", j.call.ID, "limit", time.Until(j.deadline),
		"left", c.departure.Left(), "age", time.Since(j.started))
	out := refuse(http.StatusServiceUnavailable, "leaving", time.Now().Add(failedRetryDelay))
	return &out
}

package carrier

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"
)

// departure is the planned stop of the process, as far as it concerns requests.
type departure struct {
	beganAt time.Time
	// endAt is when requests that have begun since then end at the latest.
	endAt time.Time
}

// age returns how long the process had been leaving at a time; zero if it was not.
func (d *departure) age(at time.Time) time.Duration {
	if d == nil {
		return 0
	}
	return at.Sub(d.beganAt)
}

// limitByStop ends a request before the connections of a process that leaves are cut. It is refused if the time until then
// is shorter than a run takes.
func (c *Carrier) limitByStop(j *job) *result {
	j.departure = c.departure.Load()
	if j.departure == nil || j.deadline.Before(j.departure.endAt) {
		return nil
	}
	warm, _ := c.routes.expected(j.route)
	taken := time.Now().Add(warm).Before(j.departure.endAt)
	_ = level.Info(c.Logger).Log("msg", "request would outlast the stop", "id", j.call.ID, "taken", taken,
		"expected", warm, "left", time.Until(j.departure.endAt), "limit", time.Until(j.deadline))
	if !taken {
		out := refuse(http.StatusServiceUnavailable, "leaving", time.Now().Add(failedRetryDelay))
		return &out
	}
	j.deadline = j.departure.endAt
	return nil
}

package dispatcher

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/planner"
	"chervilrail.example/core/quoter"
)

const (
	// regionsRetry is after what a caller is asked back whose request no region may serve: a change of the plan has to come
	// first.
	regionsRetry = 5 * time.Second
	// partsRetry is after what a caller is asked back where no controller gives parts of quotas: they agree on a leader by then.
	partsRetry = time.Second
	// quotaSpread is over what time refused callers return, so that they do not come all at once when there is room again.
	quotaSpread = time.Second
)

// identify finds the organisation of a request and the regions that may serve it; a result other than nil ends the request.
func (j *job) identify() *result {
	table := j.view.Table
	organisation, known := table.Organisation(j.call.Secret)
	if table.Plan.GetKeyed() && !known && !j.route.GetPublic() {
		out := refuse(http.StatusUnauthorized, "key", time.Time{})
		return &out
	}
	j.organisation = organisation
	regions, some := planner.CommonRegions(j.route.GetRegions(), organisation.GetRegions())
	if !some {
		out := refuse(http.StatusServiceUnavailable, "regions", j.started.Add(regionsRetry))
		return &out
	}
	j.regions = regions
	return nil
}

// admit counts the request against its organisation's quota; a result other than nil ends the request.
func (c *Dispatcher) admit(j *job) *result {
	if j.organisation == nil {
		return nil
	}
	name := j.organisation.GetName()
	warm, _ := c.routes.expected(j.route)
	start := j.started.Add(time.Duration(j.route.GetAim()) - warm)
	j.quota = c.Quotas.Admit(j.request.Context(), name, start, j.deadline)
	if j.quota.Outcome == quoter.Granted {
		return nil
	}
	_ = level.Info(c.Logger).Log("msg", "quota", "id", j.call.ID, "organisation", name, "outcome", j.quota.Outcome,
		"rate", j.organisation.GetRate(), "burst", j.organisation.GetBurst(), "held", j.quota.Held, "used", j.quota.Used,
		"age", j.quota.Age(time.Now()), "peer", j.quota.Peer)
	status, retry := http.StatusTooManyRequests, j.quota.RetryAt
	if j.quota.Outcome != quoter.Exceeded {
		status, retry = http.StatusServiceUnavailable, time.Now().Add(partsRetry)
	}
	out := refuse(status, "quota", retry.Add(rand.N(quotaSpread)))
	return &out
}

// objectName names what the request concerns, where targets keep that warm.
func (j *job) objectName() string {
	if !j.route.GetSticky() || j.call.Key == "" {
		return ""
	}
	return j.route.GetName() + "/" + j.call.Key
}

// boundName names the same object for organisations that are bound to regions. Where its place lies outside of them, it has
// another one there: a common place would move to and fro with each request.
func (j *job) boundName(object string) string {
	return object + "@" + strings.Join(j.organisation.GetRegions(), ",")
}

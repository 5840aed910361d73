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
	// regionsRetryDelay is after what a caller is asked back whose request no region may serve: a change of the plan has to come
	// first.
	regionsRetryDelay = 5 * time.Second
	// quotaRetryDelay is after what a caller is asked back where no controller gives parts of quotas: they agree on a leader by then.
	quotaRetryDelay = time.Second
	// quotaRetryJitter is over what time refused callers return, so that they do not come all at once when there is room again.
	quotaRetryJitter = time.Second
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
	regions, allowed := planner.Common(j.route.GetRegions(), organisation.GetRegions())
	if !allowed {
		out := refuse(http.StatusServiceUnavailable, "regions", j.started.Add(regionsRetryDelay))
		return &out
	}
	j.regions = regions
	return nil
}

// checkQuota counts the request against its organisation's quota; a result other than nil ends the request.
func (c *Dispatcher) checkQuota(j *job) *result {
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
	status, retry := http.StatusTooManyRequests, j.quota.Retry
	if j.quota.Outcome != quoter.Exceeded {
		status, retry = http.StatusServiceUnavailable, time.Now().Add(quotaRetryDelay)
	}
	out := refuse(status, "quota", retry.Add(rand.N(quotaRetryJitter)))
	return &out
}

// objectName names what the request concerns, where targets keep that warm.
func (j *job) objectName() string {
	if !j.route.GetSticky() || j.call.Key == "" {
		return ""
	}
	return j.route.GetName() + "/" + j.call.Key
}

// regionBoundName names the same object for organisations that are bound to regions. Where its place lies outside of them, it has
// another one there: a common place would move to and fro with each request.
func (j *job) regionBoundName(object string) string {
	return object + "@" + strings.Join(j.organisation.GetRegions(), ",")
}

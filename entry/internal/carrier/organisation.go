package carrier

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/leaver"
	"chervilrail.example/core/planner"
	"chervilrail.example/core/quoter"
)

const (
	// regionsRetryDelay is the delay after which a caller should retry a request that no region may serve: the plan has
	// to change first.
	regionsRetryDelay = 5 * time.Second
	// quotaRetryDelay is the delay after which a caller should retry when no controller allots quota: the controllers
	// have elected a leader by then.
	quotaRetryDelay = time.Second
	// quotaRetryJitter is the span over which the retries of refused callers are spread, so that they do not all arrive
	// at once when quota is available again.
	quotaRetryJitter = time.Second
)

// identify finds the organisation of a request and the regions that may serve it; a non-nil result is final.
func (j *job) identify() *result {
	table := j.view.Table
	organisation, known := table.Organisation(j.call.Secret)
	if table.Plan.GetKeyed() && !known && !j.route.GetPublic() {
		out := refuse(http.StatusUnauthorized, "key", time.Time{})
		return &out
	}
	j.organisation = organisation
	regions, allowed := planner.CommonRegions(j.route.GetRegions(), organisation.GetRegions())
	if !allowed {
		out := refuse(http.StatusServiceUnavailable, "regions", j.started.Add(regionsRetryDelay))
		return &out
	}
	j.regions = regions
	return nil
}

// checkQuota counts the request against its organisation's quota; a non-nil result is final.
func (c *Carrier) checkQuota(j *job) *result {
	if j.organisation == nil {
		return nil
	}
	name := j.organisation.GetName()
	warm, _ := c.routes.expected(j.route)
	start := j.started.Add(time.Duration(j.route.GetAim()) - warm)
	ctx, cancel := c.departure.Admission(j.request.Context(), j.deadline)
	defer cancel()
	j.quota = c.Quotas.Admit(ctx, name, start, j.deadline)
	if j.quota.Outcome == quoter.Granted {
		return nil
	}
	if leaver.Ends(ctx) {
		return c.refuseLeaving(j)
	}
	_ = level.Info(c.Logger).Log("msg", "quota", "id", j.call.ID, "organisation", name, "outcome", j.quota.Outcome,
		"rate", j.organisation.GetRate(), "burst", j.organisation.GetBurst(), "held", j.quota.Held, "used", j.quota.Used,
		"age", j.quota.Age(time.Now()), "peer", j.quota.Peer)
	status, retryAt := http.StatusTooManyRequests, j.quota.RetryAt
	if j.quota.Outcome != quoter.Exceeded {
		status, retryAt = http.StatusServiceUnavailable, time.Now().Add(quotaRetryDelay)
	}
	out := refuse(status, "quota", retryAt.Add(rand.N(quotaRetryJitter)))
	return &out
}

// objectName returns the name of the request's object; empty if the route is not sticky or the request has no key. A
// key may consist of any bytes, but calls to other instances hold names in UTF-8 only.
func (j *job) objectName() string {
	if !j.route.GetSticky() || j.call.Key == "" {
		return ""
	}
	key := j.call.Key
	if !utf8.ValidString(key) {
		key = strconv.QuoteToASCII(key)
	}
	return j.route.GetName() + "/" + key
}

// regionBoundName returns a second name of the object for organisations that are bound to regions. If the object's
// place lies outside those regions, the second name has a place inside them: a shared place would move back and forth
// with each request.
func (j *job) regionBoundName(object string) string {
	return object + "@" + strings.Join(j.organisation.GetRegions(), ",")
}

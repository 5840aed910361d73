// Package quoter shares each organisation's quota among the entry instances.
//
// It answers the load in which an organisation asks for more than its quota at many entry instances at once, and the one in
// which it asks for less, but never twice at the same place: parts that are fixed, or that follow the news of what others
// use, pass the quota in the first case or refuse in the second what it allows.
//
// A quota is a number of requests in any window of a length. The leading controller, the Allotter, gives parts of it to
// entry instances, the Holders. A holder lets through at most its part in any window, and gives back only what it has not
// used in the window that ends: what it gives back may be used elsewhere at once, and still no window holds more than the
// sum of all parts. Parts hold for a lease, so that requests go on being served while no controller can be reached.
//
// A file each: holder counts requests against parts and asks for them, allotter gives them, ends says until when a part may be
// in use that nobody renews, stretch keeps a reserve of each quota for the next leader.
package quoter

import (
	"math"
	"time"

	"chervilrail.example/core/wire"
)

const (
	// margin is the part of a quota's tolerance that is used. The rest is for requests that are sent again.
	margin = 0.9
	// driftParts is the share of a lease given up to clocks that run at different rates: 1/50.
	driftParts = 50
)

// Tolerance say how exact quotas have to be.
type Tolerance struct {
	// Window is the span over which requests are counted; zero means that there are no quotas.
	Window time.Duration
	// Overage is the part by which a quota may be passed in a window, Slack how many requests come on top.
	Overage float64
	Slack   float64
}

// limit is how many requests of an organisation may run in a window, 0 and false for any number.
func (t Tolerance) limit(o *wire.Organisation) (int64, bool) {
	if o.GetRate() == 0 || t.Window == 0 {
		return 0, false
	}
	asked := o.GetRate()*t.Window.Seconds() + o.GetBurst()
	limit := asked*(1+margin*t.Overage) + margin*t.Slack
	return int64(math.Min(limit, math.MaxInt32)), true
}

// Package quoter shares each organisation's quota among the entry instances.
//
// A quota limits the requests of an organisation in any window of a fixed length. The leading controller (Allotter)
// allots parts of it to the entry instances (Holder). A holder admits at most its part in any window and gives back
// only what it has not used within the current window. What it gives back can therefore be used elsewhere at once, and
// no window ever contains more requests than the sum of all parts. Parts are leased, so that instances go on serving
// requests while no controller is reachable.
//
// The package handles organisations that exceed their quota at many entry instances at once, and organisations that
// stay below it but whose requests hardly ever arrive at the same instance twice. Fixed parts, or parts derived from
// periodically published usage, exceed the quota in the first case or refuse requests within it in the second.
//
// A quota is stretched while its parts may add up to the whole of it. Otherwise the parts add up to a base amount at
// most, and the rest is a reserve: a new leader can allot it before all holders have reported to it.
//
// Files: holder.go counts requests against parts and requests parts, allotter.go allots them, ends.go determines until
// when a part that is not renewed may be in use, stretch.go manages the reserve.
package quoter

import (
	"math"
	"time"

	"chervilrail.example/core/wire"
)

const (
	// toleranceFraction is the fraction of a quota's tolerance that is used. The rest is left for requests that are
	// retried.
	toleranceFraction = 0.9
	// driftDivisor defines the share of a duration that is added for clocks running at different rates: 1/50.
	driftDivisor = 50
)

// Tolerance defines how exactly quotas are enforced.
type Tolerance struct {
	// Window is the span over which requests are counted; zero disables quotas.
	Window time.Duration
	// Overage is the fraction by which a quota may be exceeded in a window; Slack is a number of requests allowed on
	// top.
	Overage float64
	Slack   float64
}

// limit returns how many requests of an organisation may run in a window, or 0 and false if the number is unlimited.
func (t Tolerance) limit(o *wire.Organisation) (int64, bool) {
	if o.GetRate() == 0 || t.Window == 0 {
		return 0, false
	}
	asked := o.GetRate()*t.Window.Seconds() + o.GetBurst()
	limit := asked*(1+toleranceFraction*t.Overage) + toleranceFraction*t.Slack
	return int64(math.Min(limit, math.MaxInt32)), true
}

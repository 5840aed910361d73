package placer

import (
	"time"

	"chervilrail.example/core/gauger"
)

// crowdParts is the weight of the newest report in the average: a twentieth, the answers of a second or two.
const crowdParts = 20

// crowd is what other entry instances have at an average target. It answers the service with many entry instances and
// many targets, where each instance hears of a target only every few seconds: taken for empty in between, all targets
// get several times their slots, their queues run full, and requests are late or shed that would have been on time
// elsewhere or a little later.
type crowd struct {
	// perSlot is the smoothed number of other instances' requests per slot, as of at.
	perSlot float64
	at      time.Time
	// life is how long a report holds.
	life time.Duration
}

// see takes what a target has just reported.
func (c *crowd) see(now time.Time, t *Target) {
	c.perSlot += (t.others/float64(max(1, t.Slots)) - c.perSlot) / crowdParts
	c.at = now
}

// expected is the number of others' requests per slot now. Without reports it fades: a crowd that keeps all requests
// away would never be seen to have gone.
func (c *crowd) expected(now time.Time) float64 {
	return c.perSlot * gauger.Decay(now.Sub(c.at), c.life)
}

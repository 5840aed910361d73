package placer

import (
	"time"

	"chervilrail.example/core/gauger"
)

// reportDivisor is the weight of the newest report in the average: a twentieth, the answers of a second or two.
const reportDivisor = 20

// otherLoad is what other entry instances have at an average target. It answers the service with many entry instances and
// many targets, where each instance hears of a target only every few seconds: taken for empty in between, all targets
// get several times their slots, their queues run full, and requests are late or shed that would have been on time
// elsewhere or a little later.
type otherLoad struct {
	// perSlot is the smoothed number of other instances' requests per slot, as of at.
	perSlot float64
	at      time.Time
	// decay is how long a report holds.
	decay time.Duration
}

// observe takes what a target has just reported.
func (c *otherLoad) observe(now time.Time, t *Target) {
	c.perSlot += (t.others/float64(max(1, t.Slots)) - c.perSlot) / reportDivisor
	c.at = now
}

// expected is the number of others' requests per slot now. Without reports it fades: a crowd that keeps all requests
// away would never be seen to have gone.
func (c *otherLoad) expected(now time.Time) float64 {
	return c.perSlot * gauger.Fade(now.Sub(c.at), c.decay)
}

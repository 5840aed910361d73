package placer

import (
	"time"

	"chervilrail.example/core/gauger"
)

// reportDivisor sets the weight of the newest report in the average: one twentieth, so that it covers the answers of
// one or two seconds.
const reportDivisor = 20

// otherLoad is the load by other entry instances' requests at an average target. It is made for a service with many
// entry instances and many targets, where each instance receives a report of a target only every few seconds. If
// targets counted as empty in between, all of them would get several times their slots, their queues would fill up, and
// requests would be late or shed that would have been on time elsewhere or a little later.
type otherLoad struct {
	// perSlot is the smoothed number of other instances' requests per slot, as of at.
	perSlot float64
	at      time.Time
	// decay is the time in which a report loses almost two thirds of its weight.
	decay time.Duration
}

// observe takes what a target has just reported.
func (c *otherLoad) observe(now time.Time, t *Target) {
	c.perSlot += (t.others/float64(max(1, t.Slots)) - c.perSlot) / reportDivisor
	c.at = now
}

// expected returns the number of others' requests per slot now. It decays without reports: a load that keeps all
// requests away would otherwise never be seen to end.
func (c *otherLoad) expected(now time.Time) float64 {
	return c.perSlot * gauger.Decay(now.Sub(c.at), c.decay)
}

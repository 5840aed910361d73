package carrier

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/gauger"
)

// Guards against targets that became many times slower and look idle because they send no answers, and so no reports.
func TestOverdueRequestsReportLoad(t *testing.T) {
	is := is.New(t)
	const warm, cold = 600 * time.Millisecond, 2 * time.Second
	var o overdueRequests
	now := time.Unix(1000, 0)
	slow := o.begin(now, "slow", warm, cold)
	o.end(o.begin(now, "quick", warm, cold))
	is.Equal(len(o.due(now.Add(cold))), 0) // no longer than a cold run
	got := o.due(now.Add(3 * time.Second))
	is.Equal(len(got), 1)
	is.Equal(got[0].Target, gauger.Key("slow"))
	is.Equal(got[0].PerSlot, 5.0)
	is.Equal(len(o.due(now.Add(3*time.Second+overdueReportInterval/2))), 0) // reported only once per interval
	is.Equal(o.due(now.Add(6 * time.Second))[0].PerSlot, 10.0)
	o.end(slow)
	is.Equal(len(o.due(now.Add(9*time.Second))), 0)
}

package trials

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// leaveBound is the time after the acknowledgement of a leave, with all controllers down for a moment in between, after
// which the target gets no requests: the shortest time within which instances work as usual again, and the time for
// which the last requests may be under way.
const leaveBound = contactBound + time.Second

// Guards against targets that get requests until they end, although their leave was acknowledged: all controllers are
// killed at that moment, before they have told the entry instances, and the target does not repeat it.
func TestAcknowledgedLeaveOutlivesAllControllers(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 5, 4, 6)
	f.objects = 40
	stop := f.load(8)
	time.Sleep(time.Second)
	for _, target := range f.targets[:3] {
		acked, err := target.Leave(context.Background())
		is.NoErr(err)
		for _, p := range f.Controllers {
			p.Kill()
		}
		time.Sleep(300 * time.Millisecond)
		for i := range f.Controllers {
			is.NoErr(f.StartPlatformController(i, false))
		}
		time.Sleep(leaveBound + 2*time.Second)
		t.Logf("last request %v after the leave", target.LastRequest().Sub(acked))
		is.True(target.LastRequest().Sub(acked) < leaveBound)
	}
	stop()
	f.checkOnce(t)
}

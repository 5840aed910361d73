package exchanger

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"chervilrail.example/core/gauger"
	"chervilrail.example/core/wire"
)

// next makes one watch call for an entry instance of a region that has received an earlier response.
func next(t *testing.T, x *Exchanger, region string, last *wire.WatchResponse) *wire.WatchResponse {
	t.Helper()
	return watch(t, x, &wire.WatchRequest{
		Node: &wire.Node{Name: "e", Region: region}, Run: last.GetRun(), Counter: last.GetCounter(), Revision: last.GetRevision(),
		Hosted: last.GetHosted(), Loaded: last.GetLoaded(), Version: last.GetPlan().GetVersion(),
	})
}

// Guards against watch calls that do not return the new host of a moved object: entry instances would go on looking it
// up, or send to its old target.
func TestWatchReturnsMovedHosts(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1")
	first := next(t, x, "r", nil)
	time.AfterFunc(50*time.Millisecond, func() {
		host := &wire.Host{Object: 1, Service: "s", Target: "t1", Region: "r", Version: 3, Route: "view"}
		_, err := x.Tell(context.Background(), connect.NewRequest(&wire.TellRequest{
			Node: &wire.Node{Name: "other", Region: "r"}, Hosts: []*wire.Host{host},
		}))
		is.NoErr(err)
	})
	last := first
	for range 5 {
		if last = next(t, x, "r", last); len(last.GetHosts()) > 0 {
			break
		}
	}
	is.Equal(len(last.GetHosts()), 1)
	is.Equal(last.GetHosts()[0].GetVersion(), uint64(3))
	is.Equal(len(next(t, x, "r", last).GetHosts()), 0) // not repeated
	is.Equal(len(next(t, x, "elsewhere", nil).GetHosts()), 0)
}

// Guards against loads of targets that do not reach other entry instances, and against responses that repeat all of
// them.
func TestWatchReturnsLoads(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1")
	request := &wire.WatchRequest{
		Node: &wire.Node{Name: "one", Region: "r"}, Loads: gauger.Encode([]gauger.Reading{{Target: gauger.Key("t1"), PerSlot: 2}}),
	}
	_, err := x.Watch(context.Background(), connect.NewRequest(request))
	is.NoErr(err)
	received := next(t, x, "r", nil)
	loads := gauger.Decode(received.GetLoads())
	is.Equal(len(loads), 1)
	is.Equal(loads[0], gauger.Reading{Target: gauger.Key("t1"), PerSlot: 2})
	is.Equal(len(next(t, x, "r", received).GetLoads().GetTargets()), 0)
}

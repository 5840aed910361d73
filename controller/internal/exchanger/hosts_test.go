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

// next makes one call as an entry instance of a region that has seen an answer.
func next(t *testing.T, x *Exchanger, region string, last *wire.WatchResponse) *wire.WatchResponse {
	t.Helper()
	return watch(t, x, &wire.WatchRequest{
		Node: &wire.Node{Name: "e", Region: region}, Run: last.GetRun(), Counter: last.GetCounter(), Revision: last.GetRevision(),
		Hosted: last.GetHosted(), Loaded: last.GetLoaded(), Version: last.GetPlan().GetVersion(),
	})
}

// Guards against entry instances that go on asking, or send to an object's old target, because nobody tells them that it
// moved while they watch.
func TestWatchersHearOfMovedObjects(t *testing.T) {
	is := is.New(t)
	x := begin(t, "c1")
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
	is.Equal(len(next(t, x, "r", last).GetHosts()), 0) // once
	is.Equal(len(next(t, x, "elsewhere", nil).GetHosts()), 0)
}

// Guards against targets' loads that reach no other entry instance, and against answers that repeat all of them.
func TestWatchersHearOfLoads(t *testing.T) {
	is := is.New(t)
	x := begin(t, "c1")
	request := &wire.WatchRequest{
		Node: &wire.Node{Name: "one", Region: "r"}, Loads: gauger.Encode([]gauger.Reading{{Target: gauger.Key("t1"), PerSlot: 2}}),
	}
	_, err := x.Watch(context.Background(), connect.NewRequest(request))
	is.NoErr(err)
	heard := next(t, x, "r", nil)
	loads := gauger.Decode(heard.GetLoads())
	is.Equal(len(loads), 1)
	is.Equal(loads[0], gauger.Reading{Target: gauger.Key("t1"), PerSlot: 2})
	is.Equal(len(next(t, x, "r", heard).GetLoads().GetTargets()), 0)
}

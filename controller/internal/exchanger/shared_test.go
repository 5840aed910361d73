package exchanger

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/controller/internal/counter"
	"chervilrail.example/core/packer"
	"chervilrail.example/core/wire"
)

func announceMany(t *testing.T, x *Exchanger, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		r := announcement(1, wire.TargetState_TARGET_READY)
		r.Name, r.Address = fmt.Sprintf("t%d", i), fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
		is.New(t).NoErr(x.Announce(context.Background(), r))
	}
}

// receiveAll makes calls until nothing is left to be received, and returns the records by name. The request is advanced.
func receiveAll(t *testing.T, x *Exchanger, request *wire.WatchRequest) map[string]*wire.Record {
	t.Helper()
	is := is.New(t)
	received := map[string]*wire.Record{}
	for {
		response, _ := x.buildResponse(time.Now(), request)
		is.NoErr(packer.Unpack(response))
		is.True(len(response.GetRecords()) <= maxRecords)
		for _, r := range response.GetRecords() {
			received[r.GetName()] = r
		}
		request.Run, request.Counter, request.Observed = response.GetRun(), response.GetCounter(), response.GetObserved()
		if !response.GetPartial() {
			return received
		}
	}
}

// Guards against a controller that encodes all targets anew for each entry instance. With three thousand targets that
// start at once this took it longer than the instances wait; they called again for everything, and no plan was accepted.
func TestInstancesShareWhatIsEncoded(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1")
	announceMany(t, x, 0, 2000)
	x.NotifyWatchers()
	const instances = 60
	started := time.Now()
	for i := range instances {
		announceMany(t, x, 2000+i, 2001+i) // the start goes on
		is.True(len(receiveAll(t, x, &wire.WatchRequest{Unpacks: true})) >= 2000)
	}
	const parts = 2000/maxRecords + 1
	is.True(x.Counter.Sum(counter.Sets) <= parts*(3+2*uint64(time.Since(started)/ordinaryDelay)))
}

// Guards against changes that an instance never receives because they came after the moment that its answer was built
// for.
func TestSharedChangesLeaveNothingOut(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1")
	received := map[string]*wire.Record{}
	request := &wire.WatchRequest{Unpacks: true}
	for i := range 20 {
		announceMany(t, x, 100*i, 100*i+100)
		if i%3 == 0 {
			x.NotifyWatchers()
		}
		maps.Copy(received, receiveAll(t, x, request))
	}
	x.NotifyWatchers()
	maps.Copy(received, receiveAll(t, x, request))
	is.Equal(len(received), 2000)
}

// Guards against responses that an entry instance of an earlier release can't read.
func TestInstancesThatDoNotUnpackReceivePlainRecords(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1")
	announceMany(t, x, 0, 500)
	x.NotifyWatchers()
	response, _ := x.buildResponse(time.Now(), &wire.WatchRequest{})
	is.Equal(len(response.GetRecords()), 500)
	is.Equal(len(response.GetPacked()), 0)
}

// awaitQuorumNotified waits until watchers have been notified that this controller reaches a majority. That notification
// would bring them every other change, too.
func awaitQuorumNotified(t *testing.T, x *Exchanger) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for {
		x.mu.Lock()
		notified := x.wasLinked
		x.mu.Unlock()
		if notified {
			return
		}
		is.New(t).True(time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
}

// Guards against answers with thousands of records, which an overloaded controller or a full link does not bring to their
// instance in time, so that it asks for them again.
func TestAnswersHoldPartOfTheTargets(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1")
	announceMany(t, x, 0, 2000)
	x.NotifyWatchers()
	response, _ := x.buildResponse(time.Now(), &wire.WatchRequest{Unpacks: true})
	is.NoErr(packer.Unpack(response))
	is.True(response.GetPartial())
	is.True(len(response.GetRecords()) < 1000)
}

// Guards against targets that wait for their first requests much longer than a change of the plan may take.
func TestOrdinaryChangesArriveSoon(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1")
	awaitQuorumNotified(t, x)
	first := watch(t, x, &wire.WatchRequest{Node: &wire.Node{Name: "e1"}, Unpacks: true})
	started := time.Now()
	announceMany(t, x, 0, 1)
	next := watch(t, x, &wire.WatchRequest{
		Node: &wire.Node{Name: "e1"}, Run: first.GetRun(), Counter: first.GetCounter(), Observed: first.GetCounter(),
		Revision: first.GetRevision(), Unpacks: true,
	})
	is.Equal(len(next.GetRecords()), 1)
	is.True(time.Since(started) < 2*time.Second) // by then they have to be in use
}

// Guards against sums that count a target which turns to this controller as a change for all entry instances.
func TestMovedAnnouncementsAreNotCountedAsPublished(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1", "c2")
	announceMany(t, x, 0, 1)
	record := announcement(2, wire.TargetState_TARGET_READY)
	record.Name, record.Address = "t0", "10.0.0.0:80"
	x.update(func(now time.Time) {
		x.gossip.HandleRequest(now, &wire.ExchangeRequest{From: "c2", Run: 9, Records: []*wire.Record{record}})
	})
	again := proto.CloneOf(record)
	again.Sequence = 3
	is.NoErr(x.Announce(context.Background(), again))
	is.Equal(x.Counter.Sum(counter.Announcements), uint64(2))
	is.Equal(x.Counter.Sum(counter.Published), uint64(1))
	is.Equal(x.Counter.Sum(counter.Moved), uint64(1))
}

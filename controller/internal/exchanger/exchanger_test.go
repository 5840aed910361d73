package exchanger

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/controller/internal/consenter"
	"chervilrail.example/controller/internal/counter"
	"chervilrail.example/core/dialer"
	"chervilrail.example/core/planner"
	"chervilrail.example/core/wire"
)

// consensus is a group whose other members never answer. Its state was confirmed at the time in confirmed, if set. Its
// plan names the service listings, or those in services, if set.
type consensus struct {
	voters    []string
	confirmed *atomic.Pointer[time.Time]
	services  *atomic.Pointer[[]*wire.Service]
}

func (m consensus) Routing() *consenter.Routing {
	plan := &wire.Plan{
		Version: 1, Organisations: []*wire.Organisation{{Name: "acme", Keys: []string{"s3cret"}}},
		Services: []*wire.Service{{Name: "listings"}},
	}
	if m.services != nil {
		plan.Services = *m.services.Load()
	}
	out := &consenter.Routing{Revision: 1, Plan: plan, PlanWithoutKeys: planner.HashKeys(plan)}
	for _, name := range m.voters {
		out.Members = append(out.Members, &wire.Member{Name: name, Voter: true, Address: "127.0.0.1:1"})
	}
	return out
}

func (m consensus) Confirmed() time.Time {
	if m.confirmed == nil || m.confirmed.Load() == nil {
		return time.Time{}
	}
	return *m.confirmed.Load()
}

func startExchanger(t *testing.T, voters ...string) *Exchanger {
	t.Helper()
	return startWith(t, consensus{voters: voters})
}

func startWith(t *testing.T, group consensus) *Exchanger {
	t.Helper()
	x := &Exchanger{
		Self: "c1", Consensus: group, Dialer: &dialer.Dialer{HTTP1Only: true},
		Counter: &counter.Counter{}, Logger: log.NewNopLogger(),
	}
	is.New(t).NoErr(x.Start(context.Background(), nil))
	t.Cleanup(func() { is.New(t).NoErr(x.Stop(context.Background())) })
	return x
}

func announcement(sequence uint64, state wire.TargetState) *wire.Record {
	return &wire.Record{
		Name: "t1", Incarnation: 5, Sequence: sequence, Service: "listings", Address: "10.0.0.1:80", Zone: "z",
		Slots: 3, State: state,
	}
}

// A target announces itself to a controller that is then disconnected, and leaves through another one that does not
// know it. If the leave were acknowledged there, the target's delayed announcement would bring it back into use seconds
// later, with no record that it has left.
func TestLeaveOfUnknownTargetIsRefused(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1")
	var unknown *UnknownTargetError
	is.True(errors.As(x.Leave(context.Background(), "t1", 0), &unknown))
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	is.NoErr(x.Leave(context.Background(), "t1", 0))
	record, _ := x.gossip.Target("t1")
	is.Equal(record.GetState(), wire.TargetState_TARGET_GONE)
}

// Guards against sending keys to entry instances, which only need to recognise them.
func TestWatchResponseOmitsKeys(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1")
	response, fresh := x.buildResponse(time.Now(), &wire.WatchRequest{})
	is.True(fresh)
	data, err := proto.Marshal(response)
	is.NoErr(err)
	is.True(strings.Contains(string(data), "acme"))
	is.True(!strings.Contains(string(data), "s3cret"))
}

// A leave that names the target's incarnation is enough to override the delayed announcement.
func TestLeaveOfUnknownTargetWithIncarnation(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1")
	is.NoErr(x.Leave(context.Background(), "t1", 5))
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	record, _ := x.gossip.Target("t1")
	is.Equal(record.GetState(), wire.TargetState_TARGET_GONE)
}

// A target leaves through a controller that can't reach the others. They would go on using the target, so the leave is
// not acknowledged, and the target tries another controller.
func TestLeaveNeedsQuorum(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1", "c2", "c3")
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	var noQuorum *NoQuorumError
	err := x.Announce(context.Background(), announcement(2, wire.TargetState_TARGET_LEAVING))
	is.True(errors.As(err, &noQuorum))
}

// A controller that restarts with an empty disk takes seconds to join the group, and until then knows no other
// controller to pass anything on to. After a restart of all controllers, a target whose announcement it accepted would
// stay unknown to the others, and requests for its objects would be refused for that time.
func TestUnjoinedControllerRefusesAnnouncements(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t)
	for _, state := range []wire.TargetState{wire.TargetState_TARGET_READY, wire.TargetState_TARGET_LEAVING} {
		var notJoined *NotJoinedError
		is.True(errors.As(x.Announce(context.Background(), announcement(1, state)), &notJoined))
	}
	_, known := x.gossip.Target("t1")
	is.True(!known)
}

func TestLateLeaveOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1")
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	var superseded *SupersededError
	is.True(errors.As(x.Leave(context.Background(), "t1", 4), &superseded))
	record, _ := x.gossip.Target("t1")
	is.Equal(record.GetState(), wire.TargetState_TARGET_READY)
}

func watch(t *testing.T, x *Exchanger, r *wire.WatchRequest) *wire.WatchResponse {
	t.Helper()
	response, err := x.Watch(context.Background(), connect.NewRequest(r))
	is.New(t).NoErr(err)
	return response.Msg
}

func TestWatchReturnsOnChange(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1")
	instance := &wire.Node{Name: "e1", Caller: "10.0.0.9:80"}
	first := watch(t, x, &wire.WatchRequest{Node: instance})
	is.Equal(first.GetPlan().GetVersion(), uint64(1))
	is.True(first.GetLinked())
	go func() {
		time.Sleep(50 * time.Millisecond)
		_ = x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY))
	}()
	started := time.Now()
	next := watch(t, x, &wire.WatchRequest{
		Node: instance, Run: first.GetRun(), Counter: first.GetCounter(), Version: 1, Revision: first.GetRevision(),
	})
	is.Equal(len(next.GetRecords()), 1)
	is.True(next.GetPlan() == nil)
	is.True(time.Since(started) < watchTimeout/2)
}

// An entry instance that keeps watching a controller without a majority would miss leaving targets and new plans, so
// the response reports the loss.
func TestWatchReportsLostQuorum(t *testing.T) {
	x := startExchanger(t, "c1", "c2", "c3")
	is.New(t).True(!watch(t, x, &wire.WatchRequest{Node: &wire.Node{Name: "e1"}}).GetLinked())
}

// Guards against instances that lose seconds at controllers without a majority, and send requests to targets that have left:
// each of these controllers sent all targets first, and named others that it reached, which had no majority either.
func TestControllerWithoutMajorityIsLeftAtOnce(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1", "c2", "c3", "c4", "c5")
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	now := time.Now()
	x.mu.Lock()
	x.gossip.BuildRequest(now, "c2")
	x.gossip.HandleResponse(now, "c2", &wire.ExchangeResponse{Run: x.gossip.Run, Answerer: 2})
	x.mu.Unlock()
	instance := &wire.Node{Name: "e1"}

	response, atOnce := x.buildResponse(now, &wire.WatchRequest{Node: instance, Revision: 1, Version: 1})
	is.True(atOnce && !response.GetLinked())
	is.Equal(len(response.GetRecords()), 0)
	is.Equal(len(response.GetNear()), 3) // c3 to c5, which may have a majority

	response, _ = x.buildResponse(now, &wire.WatchRequest{Node: instance, Run: response.GetRun()})
	is.Equal(len(response.GetRecords()), 1) // on the next visit, as no other has a majority
}

// confirmedGroup returns a group of one voter, and a function that sets when its state was confirmed.
func confirmedGroup() (group consensus, confirm func(at time.Time)) {
	group = consensus{voters: []string{"c1"}, confirmed: &atomic.Pointer[time.Time]{}}
	return group, func(at time.Time) { group.confirmed.Store(&at) }
}

// Guards against instances that keep to a controller which reaches all others but the leader, and never learns of a
// change. Without a leader all are alike, and instances that turned from one to the next would slow the election down.
func TestControllerBehindTheOthersIsLeft(t *testing.T) {
	is := is.New(t)
	group, confirm := confirmedGroup()
	x := startWith(t, group)
	now := time.Now()
	confirm(now.Add(-behindAfter - time.Second))
	is.True(x.linked(now)) // nobody is known to be current
	hearCurrent := func(at time.Time) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.gossip.HandleRequest(at, &wire.ExchangeRequest{From: "c2", Run: 2, Current: true})
		x.gossip.BuildRequest(at, "c2")
		x.gossip.HandleResponse(at, "c2", &wire.ExchangeResponse{Run: x.gossip.Run, Answerer: 2})
	}
	hearCurrent(now)
	is.True(x.linked(now)) // it may have heard of a new leader a moment before this one
	now = now.Add(catchUpTime)
	hearCurrent(now)
	is.True(!x.linked(now))
	response, fresh := x.buildResponse(now, &wire.WatchRequest{Run: x.gossip.Run})
	is.True(fresh && !response.GetLinked())
	confirm(now)
	is.True(x.linked(now))
	confirm(time.Time{})
	is.True(x.linked(now.Add(5 * time.Second))) // c2 has not been heard of since
}

// Guards against instances that start and wait a second for each answer although this controller knows that its state is
// current.
func TestStartingInstanceIsAnsweredOnceCurrent(t *testing.T) {
	is := is.New(t)
	group, confirm := confirmedGroup()
	x := startWith(t, group)
	awaitQuorumNotified(t, x)
	now := time.Now()
	first, _ := x.buildResponse(now, &wire.WatchRequest{})
	request := &wire.WatchRequest{
		Node: &wire.Node{Starting: true, Leaving: true}, Run: x.gossip.Run, Counter: first.GetCounter(),
		Observed: first.GetObserved(), Revision: first.GetRevision(), Unpacks: true,
	}
	response, fresh := x.buildResponse(now, request)
	is.True(!fresh && !response.GetConfirmed())
	confirm(now.Add(-time.Millisecond))
	response, fresh = x.buildResponse(now, request)
	is.True(fresh && response.GetConfirmed())
	is.Equal(time.Duration(response.GetAge()), time.Millisecond)
	request.Node = &wire.Node{}
	_, fresh = x.buildResponse(now, request)
	is.True(!fresh)
}

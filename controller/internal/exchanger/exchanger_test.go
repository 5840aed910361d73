package exchanger

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/controller/internal/consenter"
	"chervilrail.example/core/dialer"
	"chervilrail.example/core/planner"
	"chervilrail.example/core/wire"
)

// mind is a group whose other members never answer.
type mind struct{ voters []string }

func (m mind) Routing() *consenter.Routing {
	plan := &wire.Plan{Version: 1, Organisations: []*wire.Organisation{{Name: "acme", Keys: []string{"s3cret"}}}}
	out := &consenter.Routing{Revision: 1, Plan: plan, PlanWithoutKeys: planner.Seal(plan)}
	for _, name := range m.voters {
		out.Members = append(out.Members, &wire.Member{Name: name, Voter: true, Address: "127.0.0.1:1"})
	}
	return out
}

func begin(t *testing.T, voters ...string) *Exchanger {
	t.Helper()
	x := &Exchanger{Self: "c1", Mind: mind{voters}, Dialer: &dialer.Dialer{HTTP1Only: true}, Logger: log.NewNopLogger()}
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

// A target has announced itself to a controller that is cut off, and leaves by another one, which has never heard
// of it. Acknowledged there, its own delayed announcement would bring it back into use seconds later, with nothing
// to show that it has left.
func TestLeavingOfAnUnknownTargetIsNotAcknowledged(t *testing.T) {
	is := is.New(t)
	x := begin(t, "c1")
	var unknown *UnknownTargetError
	is.True(errors.As(x.Leave(context.Background(), "t1", 0), &unknown))
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	is.NoErr(x.Leave(context.Background(), "t1", 0))
	record, _ := x.gossip.Target("t1")
	is.Equal(record.GetState(), wire.TargetState_TARGET_GONE)
}

// Guards against keys on entry instances, which need only recognise them.
func TestEntryInstancesGetNoKeys(t *testing.T) {
	is := is.New(t)
	x := begin(t, "c1")
	response, fresh := x.answer(time.Now(), &wire.WatchRequest{})
	is.True(fresh)
	data, err := proto.Marshal(response)
	is.NoErr(err)
	is.True(strings.Contains(string(data), "acme"))
	is.True(!strings.Contains(string(data), "s3cret"))
}

// The same target says which of its runs leaves. That is enough to ward off the delayed announcement.
func TestLeavingOfAnUnknownTargetThatNamesItsRun(t *testing.T) {
	is := is.New(t)
	x := begin(t, "c1")
	is.NoErr(x.Leave(context.Background(), "t1", 5))
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	record, _ := x.gossip.Target("t1")
	is.Equal(record.GetState(), wire.TargetState_TARGET_GONE)
}

// A controller that is cut off from the others takes a target's word that it leaves. The others would go on to use
// the target, so the word is not acknowledged, and the target turns to another controller.
func TestLeavingBindsOnlyWithMostVoters(t *testing.T) {
	is := is.New(t)
	x := begin(t, "c1", "c2", "c3")
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	var unlinked *UnlinkedError
	err := x.Announce(context.Background(), announcement(2, wire.TargetState_TARGET_LEAVING))
	is.True(errors.As(err, &unlinked))
}

// A controller comes back with an empty disk and waits for seconds to be taken into the group; until then it knows no other
// controller to pass anything on to. A target whose announcement it took would be seen by nobody after a restart of all, and
// its objects' requests would be refused for as long.
func TestControllerWithoutAGroupTakesNoAnnouncements(t *testing.T) {
	is := is.New(t)
	x := begin(t)
	for _, state := range []wire.TargetState{wire.TargetState_TARGET_READY, wire.TargetState_TARGET_LEAVING} {
		var alone *UnjoinedError
		is.True(errors.As(x.Announce(context.Background(), announcement(1, state)), &alone))
	}
	_, known := x.gossip.Target("t1")
	is.True(!known)
}

func TestLateLeaveOfAFormerRunIsIgnored(t *testing.T) {
	is := is.New(t)
	x := begin(t, "c1")
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	is.NoErr(x.Leave(context.Background(), "t1", 4))
	record, _ := x.gossip.Target("t1")
	is.Equal(record.GetState(), wire.TargetState_TARGET_READY)
}

func watch(t *testing.T, x *Exchanger, r *wire.WatchRequest) *wire.WatchResponse {
	t.Helper()
	response, err := x.Watch(context.Background(), connect.NewRequest(r))
	is.New(t).NoErr(err)
	return response.Msg
}

func TestWatcherIsAnsweredAtOnceWhenThereIsNews(t *testing.T) {
	is := is.New(t)
	x := begin(t, "c1")
	node := &wire.Node{Name: "e1", Caller: "10.0.0.9:80"}
	first := watch(t, x, &wire.WatchRequest{Node: node})
	is.Equal(first.GetPlan().GetVersion(), uint64(1))
	is.True(first.GetLinked())
	go func() {
		time.Sleep(50 * time.Millisecond)
		_ = x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY))
	}()
	started := time.Now()
	next := watch(t, x, &wire.WatchRequest{
		Node: node, Run: first.GetRun(), Counter: first.GetCounter(), Version: 1, Revision: first.GetRevision(),
	})
	is.Equal(len(next.GetRecords()), 1)
	is.True(next.GetPlan() == nil)
	is.True(time.Since(started) < watchHold/2)
}

// A controller loses touch with the others. An entry instance that stayed with it would never hear that a target
// leaves or that the plan has changed.
func TestWatcherIsToldWhenItsControllerIsCutOff(t *testing.T) {
	x := begin(t, "c1", "c2", "c3")
	is.New(t).True(!watch(t, x, &wire.WatchRequest{Node: &wire.Node{Name: "e1"}}).GetLinked())
}

package exchanger

import (
	"context"
	"errors"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/controller/internal/counter"
	"chervilrail.example/core/dialer"
	"chervilrail.example/core/wire"
)

// fakeLeaveStore holds leaves in memory. While stalled is not nil, Append waits until it is closed; fail makes it fail.
type fakeLeaveStore struct {
	mu      sync.Mutex
	list    []*wire.Record
	stalled chan struct{}
	fail    error
}

func (f *fakeLeaveStore) Load() ([]*wire.Record, error) { return f.list, nil }

func (f *fakeLeaveStore) Append(records []*wire.Record) error {
	f.mu.Lock()
	stalled := f.stalled
	f.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail == nil {
		f.list = append(f.list, records...)
	}
	return f.fail
}

func (f *fakeLeaveStore) set(stalled chan struct{}, fail error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalled, f.fail = stalled, fail
}

func startWithLeaves(t *testing.T, store LeaveStore) *Exchanger {
	t.Helper()
	x := &Exchanger{
		Self: "c1", Consensus: consensus{voters: []string{"c1"}}, Dialer: &dialer.Dialer{HTTP1Only: true},
		LeaveStore: store, Counter: &counter.Counter{}, Logger: log.NewNopLogger(),
	}
	is.New(t).NoErr(x.Start(context.Background(), nil))
	t.Cleanup(func() { is.New(t).NoErr(x.Stop(context.Background())) })
	return x
}

// exchangeLeave has another controller report a leave of t1, and returns the error of the call.
func exchangeLeave(x *Exchanger) error {
	leave := announcement(2, wire.TargetState_TARGET_LEAVING)
	_, err := x.Exchange(context.Background(), connect.NewRequest(&wire.ExchangeRequest{
		From: "c2", Records: []*wire.Record{leave}, Partial: true,
	}))
	return err
}

// Guards against a leave that is acknowledged, here or to another controller, and is forgotten when all controllers are
// killed at that moment.
func TestLeaveIsAcknowledgedOnceItIsSaved(t *testing.T) {
	for name, leave := range map[string]func(x *Exchanger) error{
		"of a target": func(x *Exchanger) error {
			return x.Announce(context.Background(), announcement(2, wire.TargetState_TARGET_LEAVING))
		},
		"of another controller": exchangeLeave,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &fakeLeaveStore{}
			x := startWithLeaves(t, store)
			is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
			stalled := make(chan struct{})
			store.set(stalled, nil)
			var notSaved *NotSavedError
			is.True(errors.As(leave(x), &notSaved))
			store.set(nil, nil)
			close(stalled)
			is.NoErr(leave(x)) // repeated
			is.Equal(store.list[0].GetName(), "t1")
			is.NoErr(leave(x))
			is.Equal(len(store.list), 1) // written once
			is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
			restarted := startWithLeaves(t, store)
			record, known := restarted.gossip.Target("t1")
			is.True(known)
			is.Equal(record.GetState(), wire.TargetState_TARGET_LEAVING)
		})
	}
}

// Guards against a controller that answers no exchanges while its disk takes no more bytes: others would take it for
// unreachable, and instances would turn away from it.
func TestFullDiskDelaysOnlyLeaves(t *testing.T) {
	is := is.New(t)
	store := &fakeLeaveStore{fail: errors.New("no space left on device")}
	x := startWithLeaves(t, store)
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	_, err := x.Exchange(context.Background(), connect.NewRequest(&wire.ExchangeRequest{From: "c2", Partial: true}))
	is.NoErr(err)
	var notSaved *NotSavedError
	is.True(errors.As(exchangeLeave(x), &notSaved))
	store.set(nil, nil)
	is.NoErr(exchangeLeave(x))
}

// Guards against a leave that is acknowledged and not stored, because the disk holds one of another incarnation with a
// higher number.
func TestLeavesOfLowerIncarnationsAreStored(t *testing.T) {
	is := is.New(t)
	store := &fakeLeaveStore{}
	k := newLeaveKeeper(store, log.NewNopLogger())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go k.run(ctx)
	for _, incarnation := range []uint64{1 << 40, 5} {
		r := announcement(1, wire.TargetState_TARGET_LEAVING)
		r.Incarnation = incarnation
		is.NoErr(k.save(ctx, []*wire.Record{r}))
	}
	is.Equal(len(store.list), 2)
}

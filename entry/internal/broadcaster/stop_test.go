package broadcaster

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/core/stopper"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
	"chervilrail.example/entry/internal/directory"
)

// stopTime is the time for a stop.
const stopTime = 500 * time.Millisecond

// fakePeer is another entry instance, which records the targets that it is told of by broadcasts. It answers no call if hangs
// is set.
type fakePeer struct {
	mu    sync.Mutex
	names []string
	hangs bool
}

func (f *fakePeer) Share(
	ctx context.Context, r *connect.Request[wire.ShareRequest],
) (*connect.Response[wire.ShareResponse], error) {
	if f.hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range r.Msg.GetRecords() {
		f.names = append(f.names, record.GetName())
	}
	return connect.NewResponse(&wire.ShareResponse{}), nil
}

// fakeRegister holds no records, and a roster of one other instance.
type fakeRegister struct{ view *directory.View }

func (f *fakeRegister) View() *directory.View                           { return f.view }
func (f *fakeRegister) Merge(context.Context, []*wire.Record) error     { return nil }
func (f *fakeRegister) Records(context.Context) ([]*wire.Record, error) { return nil, nil }

// startBroadcaster starts a broadcaster beside a peer.
func startBroadcaster(t *testing.T, peer *fakePeer) *Broadcaster {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewPeersHandler(peer))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	s := &Broadcaster{
		Instance: "e1", Dialer: &dialer.Dialer{}, Quarantine: &quarantiner.Quarantiner{}, Logger: log.NewNopLogger(),
		Register: &fakeRegister{&directory.View{Roster: []*wire.Node{{
			Name: "e2", Peer: server.Listener.Addr().String(),
		}}}},
	}
	is.New(t).NoErr(s.Start(t.Context(), nil))
	return s
}

// stopBroadcaster stops a broadcaster and returns how long that took.
func stopBroadcaster(t *testing.T, s *Broadcaster) time.Duration {
	t.Helper()
	began := time.Now()
	ctx, cancel := stopper.NewContext(t.Context(), stopper.Stopper{Timeout: stopTime, Reserve: stopTime}.From(began))
	defer cancel()
	is.New(t).NoErr(s.Stop(ctx))
	return time.Since(began)
}

// Guards against the announcement of a target that is acknowledged and lost with the instance, which stops before it has told
// the others: they go on sending requests to a target that leaves.
func TestStopTellsOthersOfTheLastAnnouncements(t *testing.T) {
	is := is.New(t)
	peer := &fakePeer{}
	s := startBroadcaster(t, peer)
	s.BroadcastRecords([]*wire.Record{{Name: "t1", State: wire.TargetState_TARGET_LEAVING}})
	stopBroadcaster(t, s)
	is.Equal(peer.names, []string{"t1"})
}

// Guards against a stop that waits for an instance which does not answer, until no time is left for what stops later.
func TestStopDoesNotWaitForSilentInstances(t *testing.T) {
	s := startBroadcaster(t, &fakePeer{hangs: true})
	s.BroadcastRecords([]*wire.Record{{Name: "t1"}})
	is.New(t).True(stopBroadcaster(t, s) < stopTime)
}

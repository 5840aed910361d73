package exchanger

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
)

const unreadable = "t\xff\xfe"

// assertNewsPasses fails unless messages to other controllers and answers to entry instances can be encoded, and hold
// the target t1.
func assertNewsPasses(t *testing.T, x *Exchanger) {
	t.Helper()
	is := is.New(t)
	x.mu.Lock()
	request := x.gossip.BuildRequest(time.Now(), "c2")
	x.mu.Unlock()
	_, err := proto.Marshal(request)
	is.NoErr(err)
	is.Equal(len(request.GetRecords()), 1)
	response, fresh := x.buildResponse(time.Now(), &wire.WatchRequest{Run: x.gossip.Run})
	is.True(fresh)
	_, err = proto.Marshal(response)
	is.NoErr(err)
	is.Equal(len(response.GetRecords()), 1)
}

// Guards against a controller that sends no more news to anybody, because one target's name can't be encoded.
func TestUnreadableNameStopsNoNews(t *testing.T) {
	is := is.New(t)
	x := startExchanger(t, "c1", "c2", "c3")
	is.NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	foreign := announcement(1, wire.TargetState_TARGET_READY)
	foreign.Name, foreign.Address = unreadable, "10.0.0.2:80"
	var malformed *registrar.AnnouncementError
	is.True(errors.As(x.Announce(context.Background(), foreign), &malformed))
	assertNewsPasses(t, x)
	is.True(errors.As(x.Leave(context.Background(), unreadable, 5), &malformed))
	assertNewsPasses(t, x)
}

// Guards against the same by a record that no check at the edge has seen.
func TestUnreadableRecordIsNotStored(t *testing.T) {
	x := startExchanger(t, "c1", "c2", "c3")
	is.New(t).NoErr(x.Announce(context.Background(), announcement(1, wire.TargetState_TARGET_READY)))
	for name, change := range map[string]func(r *wire.Record){
		"name":    func(r *wire.Record) { r.Name = unreadable },
		"service": func(r *wire.Record) { r.Service = unreadable },
		"region":  func(r *wire.Record) { r.Region = unreadable },
		"zone":    func(r *wire.Record) { r.Zone = unreadable },
	} {
		t.Run(name, func(t *testing.T) {
			foreign := announcement(1, wire.TargetState_TARGET_READY)
			foreign.Name, foreign.Address = "t2", "10.0.0.2:80"
			change(foreign)
			x.update(func(now time.Time) { x.gossip.Announce(now, foreign) })
			assertNewsPasses(t, x)
		})
	}
}

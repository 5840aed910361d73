package changer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/controller/internal/consenter"
	"chervilrail.example/core/listener"
	"chervilrail.example/core/wire"
)

// consensus counts the commands that are proposed.
type consensus struct{ proposed atomic.Int32 }

func (m *consensus) Propose(context.Context, *wire.Command) (*wire.Result, error) {
	m.proposed.Add(1)
	return &wire.Result{}, nil
}

// settleTime is longer than a request takes in this test.
const settleTime = 50 * time.Millisecond

// Guards against executing a command after a controller was suspended and its caller has given up, retried it elsewhere
// and undone it: an availability zone would be evacuated again that the operator was told is in use.
func TestCommandOfDisconnectedCallerIsNotExecuted(t *testing.T) {
	for name, disconnects := range map[string]bool{"gone": true, "waiting": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &consensus{}
			c := &Changer{Consensus: m, Logger: log.NewNopLogger()}
			suspended := make(chan struct{})
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			address := netip.MustParseAddrPort(socket.Addr().String())
			is.NoErr(socket.Close())
			l := &listener.Listener{ServiceName: "operator", Address: address, Logger: log.NewNopLogger()}
			l.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				<-suspended
				_ = c.Evacuate(r.Context(), "z", true)
			})
			is.NoErr(l.Start(t.Context(), nil))
			defer func() { is.NoErr(l.Stop(context.Background())) }()
			caller, err := net.Dial("tcp", address.String())
			is.NoErr(err)
			defer caller.Close()
			_, err = caller.Write([]byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"))
			is.NoErr(err)
			if disconnects {
				is.NoErr(caller.Close())
			}
			time.Sleep(settleTime)
			close(suspended)
			time.Sleep(settleTime)
			is.Equal(m.proposed.Load() == 0, disconnects)
		})
	}
}

// otherLeads is a group in which another controller leads.
type otherLeads struct{}

func (otherLeads) Propose(context.Context, *wire.Command) (*wire.Result, error) {
	return nil, &consenter.NotLeaderError{Leader: "c2"}
}

// forwarder answers commands but for the first, whose connection has gone silent. If refuse is set, it refuses the others.
type forwarder struct {
	calls  atomic.Int32
	refuse error
}

func (f *forwarder) Forward(ctx context.Context, _ *wire.Command) (*wire.Result, error) {
	if f.calls.Add(1) == 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &wire.Result{}, f.refuse
}

// orderBound is the time within which an order is answered although a connection has gone silent: less than any
// deployment gives an acknowledgement, with room for a change of leader.
const orderBound = 2 * time.Second

// Guards against orders that wait for seconds and are answered 503, because they were forwarded to the leader over a
// connection that has just gone silent.
func TestSilentConnectionToTheLeaderDelaysNoOrder(t *testing.T) {
	is := is.New(t)
	f := &forwarder{}
	c := &Changer{Consensus: otherLeads{}, Forwarder: f, Logger: log.NewNopLogger()}
	began := time.Now()
	is.NoErr(c.Evacuate(t.Context(), "z", true))
	is.True(time.Since(began) < orderBound)
	is.Equal(f.calls.Load(), int32(2))
}

// Guards against an order that is refused while its first copy may still take effect.
func TestRefusedSecondCopyOfAnOrderDoesNotDecide(t *testing.T) {
	is := is.New(t)
	f := &forwarder{refuse: &consenter.NotLeaderError{}}
	c := &Changer{Consensus: otherLeads{}, Forwarder: f, Logger: log.NewNopLogger()}
	began := time.Now()
	is.True(c.Evacuate(t.Context(), "z", true) != nil)
	is.True(time.Since(began) > commandTimeout-time.Second) // it has waited for the first copy
}

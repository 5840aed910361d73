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

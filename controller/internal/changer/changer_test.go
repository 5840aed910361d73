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

// mind counts the commands that are proposed.
type mind struct{ proposed atomic.Int32 }

func (m *mind) Propose(context.Context, *wire.Command) (*wire.Result, error) {
	m.proposed.Add(1)
	return &wire.Result{}, nil
}

// settle is longer than a request takes here.
const settle = 50 * time.Millisecond

// Guards against an order that is carried out when a suspended controller wakes, after it was given up, sent elsewhere and
// taken back: a zone would be evacuated that the operator was told is in use again.
func TestAnOrderWhoseCallerHasGoneIsNotCarriedOut(t *testing.T) {
	for name, leaves := range map[string]bool{"gone": true, "waiting": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &mind{}
			c := &Changer{Mind: m, Logger: log.NewNopLogger()}
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
			if leaves {
				is.NoErr(caller.Close())
			}
			time.Sleep(settle)
			close(suspended)
			time.Sleep(settle)
			is.Equal(m.proposed.Load() == 0, leaves)
		})
	}
}

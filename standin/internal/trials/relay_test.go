package trials

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/standin/internal/backend"
	"chervilrail.example/standin/internal/starter"
)

// relay passes connections on to a target, and can make the open ones go silent: both ends still
// stand, but nothing comes through any more.
type relay struct {
	target string
	mu     sync.Mutex
	open   []*atomic.Bool
}

// newRelay announces a target whose connections go through a relay.
func newRelay(t *testing.T, s *starter.System) *relay {
	t.Helper()
	is := is.New(t)
	b := &backend.Backend{Name: "relayed", Slots: 3, Work: time.Millisecond}
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(target) }()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r := &relay{target: target.Addr().String()}
	go r.accept(front)
	ctx, cancel := context.WithCancel(context.Background())
	a := &backend.Announcer{
		Backend: b, Service: "listings", Region: "almaty", Zone: "almaty-a",
		Address: netip.MustParseAddrPort(front.Addr().String()),
		Entries: []netip.AddrPort{netip.AddrPortFrom(s.Entries[0].Address, starter.TargetPort)},
	}
	go a.Run(ctx)
	t.Cleanup(func() {
		cancel()
		_ = front.Close()
		_ = server.Close()
	})
	return r
}

func (r *relay) accept(front net.Listener) {
	for {
		near, err := front.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		silent := &atomic.Bool{}
		r.mu.Lock()
		r.open = append(r.open, silent)
		r.mu.Unlock()
		go pass(near, far, silent)
		go pass(far, near, silent)
	}
}

// pass swallows what comes once the connection is silent.
func pass(to, from net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if silent.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.open {
		s.Store(true)
	}
}

func (r *relay) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

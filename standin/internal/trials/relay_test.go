package trials

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/standin/internal/backend"
	"chervilrail.example/standin/internal/relayer"
	"chervilrail.example/standin/internal/starter"
)

// newRelay starts and announces a target whose connections go through the returned relay.
func newRelay(t *testing.T, s *starter.System) *relayer.Relay {
	t.Helper()
	is := is.New(t)
	b := &backend.Target{Name: "relayed", Slots: 3, Work: time.Millisecond}
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(target) }()
	r := &relayer.Relay{Target: target.Addr().String()}
	front, err := r.Start("127.0.0.1")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	a := &backend.Announcer{
		Target: b, Service: "listings", Region: "almaty", Zone: "almaty-a",
		Address: netip.MustParseAddrPort(front),
		Entries: []netip.AddrPort{netip.AddrPortFrom(s.Entries[0].Address, starter.AnnouncementPort)},
	}
	go a.Run(ctx)
	t.Cleanup(func() {
		cancel()
		r.Close()
		_ = server.Close()
	})
	return r
}

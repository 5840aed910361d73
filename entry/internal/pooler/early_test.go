package pooler

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// earlyBody is the size in bytes of a body that does not fit into the buffers of a connection.
const earlyBody = 16 << 20

// startEarlyTarget starts a target that answers once it has the beginning of a request, and closes the connection after a
// while without reading more.
func startEarlyTarget(t *testing.T, answer string, after time.Duration) netip.AddrPort {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		c, err := socket.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, bufferSize))
		write(c, answer)
		time.Sleep(after)
	}()
	return netip.MustParseAddrPort(socket.Addr().String())
}

// Guards against a target's refusal that has arrived and is discarded, because the target closed the connection while the
// body was being sent: the caller is told that its request may have run.
func TestAnswerBeforeTheEndOfTheRequestIsRead(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: mine\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
	for name, after := range map[string]time.Duration{"closed at once": 0, "closed later": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startEarlyTarget(t, refusal, after)
			p := &Pooler{}
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			answer, outcome, err := p.Send(ctx, address, request(strings.Repeat("x", earlyBody)))
			is.NoErr(err)
			is.Equal(outcome, Answered)
			is.Equal(answer.Status, http.StatusServiceUnavailable)
			is.Equal(len(p.idle), 0)
		})
	}
}

package dialer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

// startRaw starts a server that answers each request with bytes and leaves the connection open.
func startRaw(t *testing.T, answer string) netip.AddrPort {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(socket.Addr().String())
}

// Guards against an acknowledgement that no process gave: a message that is no answer is taken for an empty response.
func TestOddStatusesAreErrors(t *testing.T) {
	const rest = "Content-Type: application/proto\r\nContent-Length: 0\r\n\r\n"
	for _, line := range []string{
		"HTTP/1.1 000 Zero", "HTTP/1.1 099 Low", "HTTP/1.1 +20 Sign", "HTTP/1.1 20 Short", "HTTP/1.1 2000 Long",
		"HTTP/1.1 600 High", "HTTP/1.1 999 High", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 204 No Content",
		"HTTP/1.1 304 Not Modified", "rubbish", "HTTP/1.1 -20 Sign",
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			d := &Dialer{HTTP1Only: true}
			client, err := d.Client()
			is.NoErr(err)
			defer client.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			caller := wireconnect.NewExchangeClient(client, d.URL(startRaw(t, line+"\r\n"+rest)))
			_, err = caller.Watch(ctx, connect.NewRequest(&wire.WatchRequest{}))
			is.True(err != nil)
			is.NoErr(ctx.Err()) // not at the deadline
		})
	}
}

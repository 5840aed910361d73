package dialer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// settle is longer than a call takes here, and than the kernel waits before it first sends again.
const settle = 300 * time.Millisecond

// Guards against calls that run seconds after they were given up: an order to evacuate a zone, say, that arrives when it
// has long been taken back.
func TestCallThatWasGivenUpNeverRuns(t *testing.T) {
	is := is.New(t)
	ran := make(chan string, 8)
	opened := make(chan net.Conn, 8)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		ran <- string(body)
	}))
	server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened <- c
		}
	}
	server.Start()
	defer server.Close()
	client, err := (&Dialer{HTTP1Only: true}).Client()
	is.NoErr(err)
	call := func(body string) error {
		ctx, cancel := context.WithTimeout(t.Context(), settle)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader(body))
		is.NoErr(err)
		response, err := client.Do(r)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	is.NoErr(call("first"))
	is.Equal(<-ran, "first")
	accepted := <-opened
	drop(t, accepted, true)
	is.True(call("given up") != nil)
	drop(t, accepted, false)
	time.Sleep(3 * settle)
	is.NoErr(call("next"))
	is.Equal(<-ran, "next")
}

// drop makes a machine drop, or take again, what arrives on a connection.
func drop(t *testing.T, c net.Conn, on bool) {
	t.Helper()
	is := is.New(t)
	filter := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	socket, ok := c.(*net.TCPConn)
	is.True(ok)
	raw, err := socket.SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		if on {
			err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
				&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
			return
		}
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	}))
	is.NoErr(err)
}

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

// callTimeout is longer than a call takes in this test and longer than the kernel's first retransmission time-out.
const callTimeout = 300 * time.Millisecond

// Guards against calls that run seconds after they were cancelled, such as a command to evacuate an availability zone
// that arrives after it has been withdrawn.
func TestTimedOutCallNeverRuns(t *testing.T) {
	is := is.New(t)
	bodies := make(chan string, 8)
	connections := make(chan net.Conn, 8)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- string(body)
	}))
	server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections <- c
		}
	}
	server.Start()
	defer server.Close()
	client, err := (&Dialer{HTTP1Only: true}).Client()
	is.NoErr(err)
	call := func(body string) error {
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
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
	is.Equal(<-bodies, "first")
	accepted := <-connections
	dropPackets(t, accepted, true)
	is.True(call("given up") != nil)
	dropPackets(t, accepted, false)
	time.Sleep(3 * callTimeout)
	is.NoErr(call("next"))
	is.Equal(<-bodies, "next")
}

// dropPackets starts or stops dropping all packets that arrive on a connection.
func dropPackets(t *testing.T, c net.Conn, on bool) {
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

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

	"chervilrail.example/core/pipeliner"
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
	is.NoErr(pipeliner.DropPackets(accepted, true))
	is.True(call("given up") != nil)
	is.NoErr(pipeliner.DropPackets(accepted, false))
	time.Sleep(3 * callTimeout)
	is.NoErr(call("next"))
	is.Equal(<-bodies, "next")
}

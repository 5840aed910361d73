package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// readSlowly sends two requests at once and one later, reads the answer to the first after a while, and reports whether
// it was received whole.
func readSlowly(c net.Conn) bool {
	const request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n"
	_, _ = fmt.Fprint(c, request+request)
	time.Sleep(patience / 4)
	_, _ = fmt.Fprint(c, request)
	time.Sleep(work)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	n, err := io.Copy(io.Discard, response.Body)
	return err == nil && n == answerSize
}

// Guards against the limit of connections that are drained: it discarded answers while callers were asked to leave,
// before the listener itself stopped.
func TestLeavingDeliversAnswersToManyCallers(t *testing.T) {
	is := is.New(t)
	a := &answers{}
	a.stopping.Store(true)
	l := start(t, a.ServeHTTP)
	var group sync.WaitGroup
	var lost atomic.Int64
	begin := make(chan bool)
	for range 400 {
		c := dialSlow(t, l)
		group.Go(func() {
			<-begin
			if !readSlowly(c.Conn) {
				lost.Add(1)
			}
			_ = c.Close()
		})
	}
	close(begin)
	group.Wait()
	is.NoErr(stop(l))
	is.Equal(lost.Load(), int64(0)) // answered, but not received whole
}

// exchange sends a request and returns the status of the answer, or 0 if there is none.
func exchange(c net.Conn) int {
	_ = c.SetDeadline(time.Now().Add(patience))
	_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: test\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against a planned stop that reads a whole request from a connection that it leaves open, and then closes the
// connection without an answer.
func TestStopAnswersRequestsThatItReads(t *testing.T) {
	is := is.New(t)
	l := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	c, err := net.Dial("tcp", l.Address.String())
	is.NoErr(err)
	defer c.Close()
	time.Sleep(unusedGrace / 2) // the server has accepted it
	done := make(chan error, 1)
	go func() { done <- stop(l) }()
	time.Sleep(unusedGrace / 4)
	is.Equal(exchange(c), http.StatusNoContent)
	is.NoErr(<-done)
}

// Guards against a planned stop that reports idle connections as requests that it has cut, since the services before it
// have taken all the time.
func TestStopWithoutTimeCutsNoIdleConnections(t *testing.T) {
	is := is.New(t)
	l := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	c, err := net.Dial("tcp", l.Address.String())
	is.NoErr(err)
	defer c.Close()
	is.Equal(exchange(c), http.StatusNoContent)
	time.Sleep(work) // the server takes it for idle
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(l.Stop(ctx))
}

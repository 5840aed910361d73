package listener

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/pipeliner"
)

// turns is a handler that answers one request at a time, each when it is released.
type turns struct {
	begun   chan bool
	release chan bool
	handled atomic.Int64
}

func newTurns() *turns { return &turns{begun: make(chan bool, 10), release: make(chan bool, 10)} }

// ServeHTTP implements http.Handler. The body of an answer is the path of its request.
func (h *turns) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.handled.Add(1)
	h.begun <- true
	<-h.release
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, r.URL.Path)
}

// dial opens a connection to a listener.
func dial(t *testing.T, l *Listener) *pipeliner.Conn {
	t.Helper()
	is := is.New(t)
	c, err := (&pipeliner.Pipeliner{}).Dial(t.Context(), l.Address.String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.SetReadDeadline(time.Now().Add(answerTimeout)))
	return c
}

// assertTurn fails unless the next answer is that to a path, and closes the connection if it is the last.
func assertTurn(t *testing.T, c *pipeliner.Conn, path string, last bool) {
	t.Helper()
	is := is.New(t)
	answer, err := c.Receive()
	is.NoErr(err)
	is.Equal(string(answer.Body), path)
	is.Equal(answer.Last, last)
}

// Guards against a planned stop that drops requests which had arrived before it, behind the one that it answers last: they
// were read, and their callers would wait for nothing.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	send := map[string]func(c *pipeliner.Conn, path string) error{
		"without body": func(c *pipeliner.Conn, path string) error { return c.Get(path, "") },
		"with body":    func(c *pipeliner.Conn, path string) error { return c.Post(path, "", 4, []byte("body")) },
		"with body like a head": func(c *pipeliner.Conn, path string) error {
			return c.Post(path, "", 9, []byte("\r\n\r\n\r\n\r\n!"))
		},
		"with a large head": func(c *pipeliner.Conn, path string) error {
			return c.Get(path, "X: "+strings.Repeat("x", 6<<10)+"\r\n")
		},
	}
	for name, request := range send {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newTurns()
			l := start(t, h.ServeHTTP)
			c := dial(t, l)
			for i := range 3 {
				is.NoErr(request(c, "/"+strconv.Itoa(i)))
			}
			<-h.begun
			time.Sleep(unusedGrace / 2) // all have arrived
			stopped := make(chan error, 1)
			go func() { stopped <- stop(l) }()
			time.Sleep(unusedGrace / 2)
			for i := range 3 {
				h.release <- true
				assertTurn(t, c, "/"+strconv.Itoa(i), i == 2)
			}
			_, err := c.Receive()
			is.Equal(err, io.ErrUnexpectedEOF)
			_ = c.Close()
			is.NoErr(<-stopped)
		})
	}
}

// Guards against a caller that sends requests all the time and is never let go by a planned stop, and against a request
// that is read after the stop began and dropped.
func TestStopReadsNoLaterPipelinedRequests(t *testing.T) {
	is := is.New(t)
	h := newTurns()
	l := start(t, h.ServeHTTP)
	c := dial(t, l)
	is.NoErr(c.Get("/0", ""))
	is.NoErr(c.Get("/1", ""))
	<-h.begun
	l.Leave()
	time.Sleep(unusedGrace / 2)
	h.release <- true
	assertTurn(t, c, "/0", false)
	is.NoErr(c.Get("/2", ""))
	is.NoErr(c.Get("/3", ""))
	time.Sleep(unusedGrace / 2) // both have arrived
	h.release <- true
	assertTurn(t, c, "/1", true)
	is.Equal(h.handled.Load(), int64(2))
	_ = c.Close()
	is.NoErr(stop(l))
}

// Guards against callers that stay on an instance that leaves: each answer has to close its caller's connection.
func TestLeavingClosesConnectionsWithTheirNextAnswer(t *testing.T) {
	is := is.New(t)
	l := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	earlier := dial(t, l)
	is.NoErr(earlier.Get("/", ""))
	assertTurn(t, earlier, "", false)
	l.Leave()
	later := dial(t, l)
	for _, c := range []*pipeliner.Conn{earlier, later} {
		is.NoErr(c.Get("/", ""))
		assertTurn(t, c, "", true)
		_ = c.Close()
	}
	is.NoErr(stop(l))
}

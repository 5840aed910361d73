package listener

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// assertBothAnswered fails unless a planned stop answers two requests that had arrived together before it.
func assertBothAnswered(t *testing.T, requests string) {
	t.Helper()
	is := is.New(t)
	h := newTurns()
	l := start(t, h.ServeHTTP)
	c := dial(t, l)
	_, err := fmt.Fprint(c, requests)
	is.NoErr(err)
	<-h.begun
	time.Sleep(unusedGrace / 2) // both have arrived
	stopped := make(chan error, 1)
	go func() { stopped <- stop(l) }()
	time.Sleep(unusedGrace / 2)
	h.release <- true
	h.release <- true
	assertTurn(t, c, "/0", false)
	assertTurn(t, c, "/1", true)
	_ = c.Close()
	is.NoErr(<-stopped)
}

// Guards against a planned stop that reads and drops a request because it had arrived behind one with a body.
func TestStopAnswersARequestBehindABody(t *testing.T) {
	assertBothAnswered(t, "POST /0 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"+"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
}

// Guards against a planned stop that reads and drops a request because lines end with a line feed only.
func TestStopAnswersRequestsWithLineFeedsOnly(t *testing.T) {
	assertBothAnswered(t, strings.ReplaceAll("GET /0 HTTP/1.1\r\nHost: h\r\n\r\nGET /1 HTTP/1.1\r\nHost: h\r\n\r\n", "\r", ""))
}

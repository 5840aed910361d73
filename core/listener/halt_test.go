package listener

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/pipeliner"
)

// haltingBody stands for a process that is suspended as it looks for the rest of a body.
type haltingBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b *haltingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	time.Sleep(2 * bodyWait)
	return n, err
}

// Guards against a refusal, during which the process is suspended, that leaves its connection open and makes each later
// request on it look as if its caller had gone.
func TestRequestsAfterARefusalAndAHaltAreAnswered(t *testing.T) {
	is := is.New(t)
	var gone atomic.Bool
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, _ = io.Copy(io.Discard, r.Body)
			r.Body = &haltingBody{r.Body}
			SkipBody(w, r)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		gone.Store(CallerDisconnected(r.Context()))
	})
	defer func() { _ = stop(l) }()
	c, err := (&pipeliner.Pipeliner{}).Dial(t.Context(), l.Address.String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(c.SetReadDeadline(time.Now().Add(answerTimeout)))
	is.NoErr(c.Post("/", "", 1, []byte("x")))
	refusal, err := c.Receive()
	is.NoErr(err)
	is.Equal(refusal.Status, http.StatusServiceUnavailable)
	if refusal.Last {
		return
	}
	is.NoErr(c.Get("/", ""))
	assertAnswer(t, c, http.StatusOK, 0)
	is.True(!gone.Load())
}

// Guards against a planned stop of a process that is suspended between the arrival of a whole request and its handling:
// the connection counts as idle and is closed without an answer.
func TestStopAnswersRequestsReadBeforeAHalt(t *testing.T) {
	is := is.New(t)
	halted := make(chan bool, 1)
	l := &Listener{ServiceName: "test", Address: freeAddress(t), Logger: log.NewNopLogger()}
	halt := func(c net.Conn, state http.ConnState) {
		if state == http.StateActive {
			halted <- true
			time.Sleep(3 * unusedGrace)
		}
		l.observe(c, state)
	}
	var first sync.Once
	l.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		first.Do(func() { l.server.ConnState = halt }) // read by this goroutine only, as there is one connection
		w.WriteHeader(http.StatusNoContent)
	})
	is.NoErr(l.Start(t.Context(), nil))
	c, err := net.Dial("tcp", l.Address.String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.Equal(exchange(c), http.StatusNoContent)
	status := make(chan int, 1)
	go func() { status <- exchange(c) }()
	<-halted
	is.NoErr(stop(l))
	is.Equal(<-status, http.StatusNoContent)
}

// Guards against connections that stay open for good: the server gives up a request that it can't read, while it still
// takes the connection for idle.
func TestUnreadableRequestOnAKeptConnectionClosesIt(t *testing.T) {
	is := is.New(t)
	l := start(t, func(http.ResponseWriter, *http.Request) {})
	defer func() { _ = stop(l) }()
	c := dial(t, l)
	is.NoErr(c.Get("/", ""))
	assertAnswer(t, c, http.StatusOK, 0)
	_, err := io.WriteString(c, "GET\r\n\r\n")
	is.NoErr(err)
	assertAnswer(t, c, http.StatusBadRequest, len("400 Bad Request"))
	is.NoErr(c.SetReadDeadline(time.Now().Add(patience)))
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

package listener

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

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

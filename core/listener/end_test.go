package listener

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/stopper"
)

// Guards against requests that are cut without an answer though their handlers could give one as soon as they know that the
// process leaves; and against answers that come too late, as the handlers learn it only at the cut.
func TestRequestsEndBeforeTheCut(t *testing.T) {
	is := is.New(t)
	begun := make(chan bool, 1)
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		begun <- true
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	l.EndRequests = true
	c := dial(t, l)
	is.NoErr(c.Get("/", ""))
	<-begun
	const step = 300 * time.Millisecond
	now := time.Now()
	d := stopper.Deadlines{End: now.Add(step), Cut: now.Add(2 * step), Close: now.Add(3 * step), Exit: now.Add(3 * step)}
	ctx, cancel := stopper.NewContext(t.Context(), d)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- l.Stop(ctx) }()
	answer, err := c.Receive()
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusServiceUnavailable)
	is.True(!time.Now().Before(d.End))
	is.True(time.Now().Before(d.Cut))
	_ = c.Close()
	is.NoErr(<-stopped)
}

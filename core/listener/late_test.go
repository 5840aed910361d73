package listener

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/stopper"
)

// Guards against requests that are cut although they end just then: the process stood still until after the time at which
// connections are cut, and what had ended their work in the meantime could not be told.
func TestRequestsThatEndAsALateStopGoesOnAreAnswered(t *testing.T) {
	is := is.New(t)
	begun, end := make(chan struct{}), make(chan struct{})
	l := start(t, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-end
		w.WriteHeader(http.StatusNoContent)
	})
	status := make(chan int, 1)
	go func() {
		response, err := http.Get("http://" + l.Address.String())
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	<-begun
	now := time.Now()
	ctx, cancel := stopper.NewContext(t.Context(), stopper.Deadlines{
		Cut: now.Add(-patience), Close: now.Add(patience / 2), Exit: now.Add(patience),
	})
	defer cancel()
	time.AfterFunc(pollInterval, func() { close(end) })
	is.NoErr(l.Stop(ctx))
	is.Equal(<-status, http.StatusNoContent)
}

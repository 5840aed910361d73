package listener

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// bursts is the number of callers that send a burst of requests each.
	bursts    = 40
	burstSize = 150
)

// receiveBurst returns how many answers a caller receives.
func receiveBurst(t *testing.T, l *Listener, sent *sync.WaitGroup) int {
	c := dial(t, l)
	defer func() { _ = c.Close() }()
	for i := range burstSize {
		_ = c.Get("/"+strconv.Itoa(i), "") // fails if the other end has closed, which shows in the answers
	}
	sent.Done()
	for i := range burstSize {
		if _, err := c.Receive(); err != nil {
			return i
		}
	}
	return burstSize
}

// Guards against a planned stop that reads and drops requests which had arrived before it, as it looks at their connection
// in the moment between one request and the next.
func TestStopAnswersBurstsOfRequests(t *testing.T) {
	is := is.New(t)
	l := start(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	})
	var sent, group sync.WaitGroup
	var answered atomic.Int64
	sent.Add(bursts)
	for range bursts {
		group.Go(func() { answered.Add(int64(receiveBurst(t, l, &sent))) })
	}
	sent.Wait()
	time.Sleep(work) // all have arrived
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	is.NoErr(l.Stop(ctx))
	group.Wait()
	is.Equal(answered.Load(), int64(bursts*burstSize))
}

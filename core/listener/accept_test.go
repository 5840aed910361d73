package listener

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/pipeliner"
)

const (
	// lastRounds is the number of stops in TestConnectionsAcceptedLastAreAnswered, lastCallers that of the connections that
	// are opened within lastSpan around each.
	lastRounds  = 120
	lastCallers = 60
	lastSpan    = time.Millisecond
)

// Guards against requests that a stop reads and drops: those on connections that are accepted just before it.
func TestConnectionsAcceptedLastAreAnswered(t *testing.T) {
	var closed atomic.Int64
	for range lastRounds {
		stopAmongCallers(t, &closed)
	}
	is.New(t).Equal(closed.Load(), int64(0))
}

// stopAmongCallers stops a listener while callers open connections, and counts those that are closed without an answer. One
// that is reset was not accepted.
func stopAmongCallers(t *testing.T, closed *atomic.Int64) {
	t.Helper()
	is := is.New(t)
	address, err := pipeliner.FreeAddress()
	is.NoErr(err)
	l := &Listener{
		ServiceName: "test", Address: address, Logger: log.NewNopLogger(), Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
	}
	is.NoErr(l.Start(t.Context(), nil))
	stopAt := time.Now().Add(2 * lastSpan)
	var group sync.WaitGroup
	for range lastCallers {
		group.Go(func() {
			time.Sleep(time.Until(stopAt) - lastSpan/2 + rand.N(lastSpan))
			conn, err := (&pipeliner.Pipeliner{}).Dial(t.Context(), address.String())
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if err := conn.Get("/", ""); err != nil {
				return // the connection has been reset
			}
			if _, err := conn.Receive(); errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
				closed.Add(1)
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	is.NoErr(l.Stop(ctx))
	group.Wait()
}

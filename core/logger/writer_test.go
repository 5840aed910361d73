package logger

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// blockedOutput is an output whose writes block until unblock is closed.
type blockedOutput struct {
	unblock chan struct{}
	mu      sync.Mutex
	output  bytes.Buffer
}

func (s *blockedOutput) Write(data []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.output.Write(data)
}

func startWriter(out *blockedOutput) (*Writer, log.Logger) {
	w := &Writer{Out: out}
	w.Start(prometheus.NewRegistry())
	return w, New(w, Options{Format: "logfmt", Level: "info", Program: "p", Instance: "i"})
}

func closeWriter(t *testing.T, w *Writer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.New(t).NoErr(w.Close(ctx))
}

// The process that reads standard output stops reading. Requests write log lines, so they would block too and every
// response would be delayed. Lines are dropped instead, and once the output is read again a line reports how many.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{unblock: make(chan struct{})}
	w, logs := startWriter(out)
	done := make(chan struct{})
	lines := 4 * maxPending / 100
	go func() {
		defer close(done)
		for i := range lines {
			_ = logs.Log("msg", "request", "number", i, "filler", strings.Repeat("x", 100))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks")
	}
	close(out.unblock)
	closeWriter(t, w)
	dropped := int(testutil.ToFloat64(w.dropped))
	is.True(dropped > 0)
	written := strings.Count(out.output.String(), "msg=request")
	is.Equal(written+dropped, lines)
	is.True(strings.Contains(out.output.String(), "log lines dropped"))
}

// Guards against lines that are lost because they are still buffered when the program stops.
func TestCloseFlushesPendingLines(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{unblock: make(chan struct{})}
	close(out.unblock)
	w, logs := startWriter(out)
	_ = logs.Log("msg", "stopped")
	closeWriter(t, w)
	is.True(strings.Contains(out.output.String(), "msg=stopped"))
}

// A program stops while its output is blocked: it must end in time and not wait for the reader.
func TestCloseReturnsWhenContextEnds(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{unblock: make(chan struct{})}
	defer close(out.unblock)
	w, logs := startWriter(out)
	_ = logs.Log("msg", "stopped")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(w.Close(ctx) != nil)
}

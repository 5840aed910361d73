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

// stuck is a reader that reads nothing until it is let go.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *stuck) Write(data []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(data)
}

func startWriter(out *stuck) (*Writer, log.Logger) {
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

// Whoever collects standard output stands still. Requests log on their way, so they would stand still too; callers
// would see every answer late. Lines are dropped instead, and once the output is read again a line says how many.
func TestStuckReaderDelaysNothing(t *testing.T) {
	is := is.New(t)
	out := &stuck{free: make(chan struct{})}
	w, logs := startWriter(out)
	done := make(chan struct{})
	lines := 4 * bufferLimit / 100
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
	close(out.free)
	closeWriter(t, w)
	dropped := int(testutil.ToFloat64(w.dropped))
	is.True(dropped > 0)
	written := strings.Count(out.got.String(), "msg=request")
	is.Equal(written+dropped, lines)
	is.True(strings.Contains(out.got.String(), "log lines dropped"))
}

// Lines that wait when the program stops are written before it ends.
func TestCloseWritesWhatWaits(t *testing.T) {
	is := is.New(t)
	out := &stuck{free: make(chan struct{})}
	close(out.free)
	w, logs := startWriter(out)
	_ = logs.Log("msg", "stopped")
	closeWriter(t, w)
	is.True(strings.Contains(out.got.String(), "msg=stopped"))
}

// A program stops while its output is stuck: it ends in time and not with its reader.
func TestCloseEndsInTime(t *testing.T) {
	is := is.New(t)
	out := &stuck{free: make(chan struct{})}
	defer close(out.free)
	w, logs := startWriter(out)
	_ = logs.Log("msg", "stopped")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(w.Close(ctx) != nil)
}

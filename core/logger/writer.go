package logger

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// bufferLimit is how many bytes of lines wait at most: about a second of lines of a loaded entry instance.
	bufferLimit = 256 << 10
	// gather is how long lines wait for others, so that one system call writes many. Lines of the last moments before a
	// kill are lost with it.
	gather = 50 * time.Millisecond
)

// Writer passes lines on in the background. A reader of standard output that stands still would otherwise block every
// goroutine that logs, and requests with them; here lines are dropped instead, and a line says how many. Set the
// exported fields, then Start it.
type Writer struct {
	Out io.Writer

	mu      sync.Mutex
	waiting []byte
	// unsaid is how many lines were dropped since that was last said.
	unsaid  int
	dropped prometheus.Counter
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// Start begins to write and counts in the registry what is dropped.
func (w *Writer) Start(registry prometheus.Registerer) {
	w.wake = make(chan struct{}, 1)
	w.done = make(chan struct{})
	w.dropped = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "chervilrail", Name: "log_lines_dropped_total", Help: "Log lines dropped because nobody read them.",
	})
	registry.MustRegister(w.dropped)
	go w.run()
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.waiting)+len(line) > bufferLimit {
		w.unsaid++
		w.dropped.Inc()
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what waits, until ctx ends.
func (w *Writer) Close(ctx context.Context) error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var buffer []byte
	for range w.wake {
		w.pause()
		buffer = w.flush(buffer)
	}
	w.flush(buffer)
}

// pause lets further lines come, unless this is the end.
func (w *Writer) pause() {
	w.mu.Lock()
	closed := w.closed
	w.mu.Unlock()
	if !closed {
		time.Sleep(gather)
	}
}

// flush writes what waits; empty becomes the buffer of the lines that come meanwhile. It returns the buffer written.
func (w *Writer) flush(empty []byte) []byte {
	w.mu.Lock()
	lines, unsaid := w.waiting, w.unsaid
	w.waiting, w.unsaid = empty[:0], 0
	w.mu.Unlock()
	if unsaid > 0 {
		lines = fmt.Appendf(lines, "msg=\"log lines dropped\" count=%d\n", unsaid)
	}
	if len(lines) > 0 {
		// Nothing can be said about a failure to log but in the log.
		_, _ = w.Out.Write(lines)
	}
	return lines
}

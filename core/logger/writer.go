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
	// maxPending is the most bytes of buffered lines: about a second of lines of an entry instance under load.
	maxPending = 256 << 10
	// flushDelay is how long lines are buffered, so that one system call writes many. The lines buffered when the
	// process is killed are lost.
	flushDelay = 50 * time.Millisecond
)

// Writer writes lines to Out in the background. If the reader of standard output stopped reading, direct writes would
// block every goroutine that logs, and with them requests. Writer drops lines instead and logs how many. Set Out, then
// call Start.
type Writer struct {
	Out io.Writer

	mu      sync.Mutex
	pending []byte
	// unreported is how many lines were dropped since the last report of dropped lines.
	unreported int
	dropped    prometheus.Counter
	wake       chan struct{}
	done       chan struct{}
	closed     bool
}

// Start starts writing and registers the counter of dropped lines.
func (w *Writer) Start(registry prometheus.Registerer) {
	w.wake = make(chan struct{}, 1)
	w.done = make(chan struct{})
	w.dropped = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "chervilrail", Name: "log_lines_dropped_total", Help: "Log lines dropped because nobody read them.",
	})
	registry.MustRegister(w.dropped)
	go w.run()
}

// Write buffers one line, or drops it if the buffer is full or the writer closed. It never waits for Out and never
// fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxPending {
		w.unreported++
		w.dropped.Inc()
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the buffered lines. It returns the error of ctx if that ends first.
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
	var spare []byte
	for range w.wake {
		w.waitForLines()
		spare = w.flush(spare)
	}
	w.flush(spare)
}

// waitForLines waits for further lines, unless the writer is closed.
func (w *Writer) waitForLines() {
	w.mu.Lock()
	closed := w.closed
	w.mu.Unlock()
	if !closed {
		time.Sleep(flushDelay)
	}
}

// flush writes the buffered lines and a report of dropped lines. spare becomes the new buffer; flush returns the buffer
// that it wrote, for reuse.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	lines, unreported := w.pending, w.unreported
	w.pending, w.unreported = spare[:0], 0
	w.mu.Unlock()
	if unreported > 0 {
		lines = fmt.Appendf(lines, "msg=\"log lines dropped\" count=%d\n", unreported)
	}
	if len(lines) > 0 {
		// The error is ignored: a failure to log could only be reported in the log.
		_, _ = w.Out.Write(lines)
	}
	return lines
}

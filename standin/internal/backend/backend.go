// Package backend is a small target for tests. Requests occupy one of a limited number of slots for a configured time;
// the paths /crash and /half cause failures.
package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerOutcome = "Chervilrail-Outcome"
	headerKey     = "Idempotency-Key"
	exitCrash     = 3
	truncatedSize = 1 << 20
)

// Target is an http.Handler that serves requests. Set the exported fields before use.
type Target struct {
	Name string
	// Slots is the maximum number of concurrent requests; more are answered with 503.
	Slots int32
	// Work is how long a request takes unless its query parameter work contains another duration.
	Work time.Duration

	running atomic.Int32
	peak    atomic.Int32
	served  atomic.Int64
	shed    atomic.Int64
	mu      sync.Mutex
	// runs counts the requests by idempotency key.
	runs map[string]int
}

// Report is the answer to GET /stats.
type Report struct {
	Name   string         `json:"name"`
	Served int64          `json:"served"`
	Shed   int64          `json:"shed"`
	Peak   int32          `json:"most"`
	Runs   map[string]int `json:"runs"`
}

// Load returns the number of running requests.
func (b *Target) Load() int32 { return b.running.Load() }

// ServeHTTP implements http.Handler.
func (b *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stats" {
		b.serveStats(w)
		return
	}
	if !b.acquireSlot() {
		b.shed.Add(1)
		w.Header().Set(headerOutcome, "not-run")
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	b.run(w, r)
}

func (b *Target) acquireSlot() bool {
	n := b.running.Add(1)
	if n > b.Slots {
		b.running.Add(-1)
		return false
	}
	for peak := b.peak.Load(); n > peak && !b.peak.CompareAndSwap(peak, n); {
		peak = b.peak.Load()
	}
	return true
}

func (b *Target) run(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/crash":
		os.Exit(exitCrash)
	case "/half":
		b.serveTruncated(w)
		return
	}
	b.countRun(r.Header.Get(headerKey))
	received, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		http.Error(w, "body ended early", http.StatusBadRequest)
		return
	}
	time.Sleep(b.workTime(r))
	b.served.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Reply{
		Target:   b.Name,
		Path:     r.URL.Path,
		Received: received,
		Echo:     r.URL.Query().Get("echo"),
	})
}

// Reply is the answer to requests that are served.
type Reply struct {
	Target   string `json:"target"`
	Path     string `json:"path"`
	Received int64  `json:"received"`
	Echo     string `json:"echo,omitempty"`
}

func (b *Target) workTime(r *http.Request) time.Duration {
	text := r.URL.Query().Get("work")
	if work, err := time.ParseDuration(text); err == nil {
		return work
	}
	return b.Work
}

func (b *Target) countRun(key string) {
	if key == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs == nil {
		b.runs = map[string]int{}
	}
	b.runs[key]++
}

// serveTruncated announces a body of truncatedSize bytes and closes the connection after half of it.
func (b *Target) serveTruncated(w http.ResponseWriter) {
	w.Header().Set("Content-Length", strconv.Itoa(truncatedSize))
	_, _ = w.Write(make([]byte, truncatedSize/2))
	panic(http.ErrAbortHandler)
}

func (b *Target) serveStats(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = json.NewEncoder(w).Encode(Report{
		Name:   b.Name,
		Served: b.served.Load(),
		Shed:   b.shed.Load(),
		Peak:   b.peak.Load(),
		Runs:   b.runs,
	})
}

// Package backend is a small target: it works for a set time in a set number of slots, and misbehaves
// where a path asks for it.
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
	halfSize      = 1 << 20
)

// Backend serves requests. Set the exported fields before use.
type Backend struct {
	Name  string
	Slots int32
	// Work is how long a request takes unless its query says otherwise.
	Work time.Duration

	running atomic.Int32
	most    atomic.Int32
	served  atomic.Int64
	shed    atomic.Int64
	mu      sync.Mutex
	runs    map[string]int
}

// Report is what GET /stats answers.
type Report struct {
	Name   string         `json:"name"`
	Served int64          `json:"served"`
	Shed   int64          `json:"shed"`
	Most   int32          `json:"most"`
	Runs   map[string]int `json:"runs"`
}

// Load returns how many requests run.
func (b *Backend) Load() int32 { return b.running.Load() }

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stats" {
		b.report(w)
		return
	}
	if !b.enter() {
		b.shed.Add(1)
		w.Header().Set(headerOutcome, "not-run")
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	b.run(w, r)
}

func (b *Backend) enter() bool {
	n := b.running.Add(1)
	if n > b.Slots {
		b.running.Add(-1)
		return false
	}
	for most := b.most.Load(); n > most && !b.most.CompareAndSwap(most, n); {
		most = b.most.Load()
	}
	return true
}

func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/crash":
		os.Exit(exitCrash)
	case "/half":
		b.half(w)
		return
	}
	b.count(r.Header.Get(headerKey))
	received, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		http.Error(w, "body ended early", http.StatusBadRequest)
		return
	}
	time.Sleep(b.workOf(r))
	b.served.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Reply{
		Target:   b.Name,
		Path:     r.URL.Path,
		Received: received,
		Echo:     r.URL.Query().Get("echo"),
	})
}

// Reply is the answer to ordinary requests.
type Reply struct {
	Target   string `json:"target"`
	Path     string `json:"path"`
	Received int64  `json:"received"`
	Echo     string `json:"echo,omitempty"`
}

func (b *Backend) workOf(r *http.Request) time.Duration {
	text := r.URL.Query().Get("work")
	if work, err := time.ParseDuration(text); err == nil {
		return work
	}
	return b.Work
}

func (b *Backend) count(key string) {
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

// half promises a long answer and breaks off in the middle of it.
func (b *Backend) half(w http.ResponseWriter) {
	w.Header().Set("Content-Length", strconv.Itoa(halfSize))
	_, _ = w.Write(make([]byte, halfSize/2))
	panic(http.ErrAbortHandler)
}

func (b *Backend) report(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = json.NewEncoder(w).Encode(Report{
		Name:   b.Name,
		Served: b.served.Load(),
		Shed:   b.shed.Load(),
		Most:   b.most.Load(),
		Runs:   b.runs,
	})
}

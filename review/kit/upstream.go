package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at an upstream.
type arrival struct {
	at   time.Time
	id   string
	path string
	from string
	// run is set if the upstream began to work on it.
	run bool
}

// upstream stands in for a back end as the users' page on the protocol describes it.
type upstream struct {
	d       *deployment
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	born    int64
	// silent stops the heartbeats.
	silent atomic.Bool
	// spoil, if set, may take over the answer to a request that the upstream has run. It reports whether it did.
	spoil atomic.Pointer[func(w http.ResponseWriter, r *http.Request) bool]

	sequence atomic.Int64
	tokens   chan struct{}
	waiting  atomic.Int32
	server   *http.Server

	mu       sync.Mutex
	arrivals []arrival
}

const (
	queueLength = 9
	slots       = 3
)

// startUpstream starts an upstream on the n-th address for them.
func (d *deployment) startUpstream(ctx context.Context, n int, service, zone string, work time.Duration) (*upstream, error) {
	u := &upstream{
		d: d, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, slots: slots, work: work,
		address: join(d.address(3, n), 8080), born: time.Now().UnixMilli(), tokens: make(chan struct{}, slots),
	}
	socket, err := net.Listen("tcp", u.address)
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(socket) }()
	d.onEnd(func() { _ = u.server.Close() })
	d.wait.Go(func() { u.beat(ctx) })
	return u, nil
}

// beat announces the upstream about every heartbeat, at the next node after each failure.
func (u *upstream) beat(ctx context.Context) {
	nodes := u.d.controls()
	at := rand.IntN(len(nodes))
	for ctx.Err() == nil && !u.d.isClosed() {
		pause := heartbeat
		if !u.silent.Load() {
			status, _, err := u.d.http.post(ctx, nodes[at], "instances.heartbeat", u.id, u.state("ready"))
			if err != nil || status < 200 || status > 299 {
				at, pause = (at+1)%len(nodes), 100*time.Millisecond
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (u *upstream) state(state string) []byte {
	data, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": state,
		"coldRemainingS": 0, "sequence": u.sequence.Add(1), "born": u.born,
	})
	return data
}

func (u *upstream) add(r *http.Request, run bool) {
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals = append(u.arrivals, arrival{time.Now(), r.Header.Get("X-Chervilrail-Attempt-Id"), r.URL.Path, from, run})
}

// ServeHTTP runs a request, or says that it was not run.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Chervilrail-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Chervilrail-Attempt-Id", id)
	}
	w.Header().Set("X-Chervilrail-Server-Load", fmt.Sprintf("%d,%d,%d", len(u.tokens), u.waiting.Load(), u.slots))
	refuse := func(status int) {
		w.Header().Set("X-Chervilrail-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Chervilrail-Instance-Id", u.id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	switch target := r.Header.Get("X-Chervilrail-Target-Instance"); {
	case target != "" && target != u.id:
		refuse(http.StatusMisdirectedRequest)
		return
	case id == "":
		refuse(http.StatusBadRequest)
		return
	case u.waiting.Load() >= queueLength:
		refuse(http.StatusServiceUnavailable)
		return
	}
	u.waiting.Add(1)
	select {
	case u.tokens <- struct{}{}:
		u.waiting.Add(-1)
	case <-r.Context().Done():
		u.waiting.Add(-1)
		return
	}
	defer func() { <-u.tokens }()
	u.add(r, true)
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		return
	}
	if spoil := u.spoil.Load(); spoil != nil && (*spoil)(w, r) {
		return
	}
	w.Header().Set("X-Chervilrail-Server-Signature", "case."+u.id)
	_, _ = fmt.Fprintf(w, "%s %s %s\n", u.service, u.zone, u.id)
}

// since returns the runs that began after a time.
func (u *upstream) since(t time.Time) []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []arrival
	for _, a := range u.arrivals {
		if a.run && a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}

// startServices starts two upstreams of each of two services in each zone.
func startServices(ctx context.Context, d *deployment) ([]*upstream, error) {
	var out []*upstream
	for _, zone := range zones {
		for _, name := range []string{"first", "first", "second", "second"} {
			u, err := d.startUpstream(ctx, len(out)+1, name, zone, 20*time.Millisecond)
			if err != nil {
				return nil, err
			}
			out = append(out, u)
		}
	}
	return out, nil
}

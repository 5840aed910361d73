package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// garbleTime, garbleShare and garblePart are the dose of the disruption: how long it lasts, which share of the
	// upstreams it concerns, and which part of their answers they spoil.
	garbleTime  = 5 * time.Second
	garbleShare = 0.35
	garblePart  = 0.03
	// chunk is sent every chunkTime to a front node: 100 MB a second, four fifths of the link of a front machine.
	chunk     = 1_000_000
	chunkTime = 10 * time.Millisecond

	patience = 3 * time.Second
)

// endlessBytes has some upstreams send bytes that are no response in place of some of their answers, as long as the
// connection is open. The rule LOST is broken if front nodes in touch close connections without an answer although they
// have passed the requests on to sound upstreams. A process that ends by itself counts as running.
func endlessBytes(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.startAll(); err != nil {
		return false, err
	}
	d.enforceMemory()
	upstreams, err := startServices(ctx, d)
	if err != nil {
		return false, err
	}
	for _, u := range upstreams {
		u.work = 240 * time.Millisecond
	}
	routes := []route{newRoute("browse", "first", "safe"), newRoute("pay", "second", "unsafe")}
	for i := range routes {
		routes[i].Timeout = 2.5
	}
	status, err := d.order(ctx, "config.put", "", firstConfig(routes, "first", "second"), 20*time.Second)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("first configuration: %d %v", status, err)
	}
	time.Sleep(lead)
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	clients := &crowd{d: d}
	clients.start(traffic, 160, 240, func() (string, string, []byte) {
		if rand.IntN(2) == 0 {
			return http.MethodGet, "/browse/x", nil
		}
		return http.MethodPost, "/pay/x", []byte("a seat")
	}, patience)
	time.Sleep(contact)
	d.record.add("step", "clients send 240 requests a second")

	spoilers := map[string]bool{}
	if trouble {
		links := &links{locks: map[string]*link{}}
		spoil := func(w http.ResponseWriter, r *http.Request) bool { return links.spoil(d, w, r) }
		for _, u := range pick(upstreams, garbleShare) {
			spoilers[u.id] = true
			u.spoil.Store(&spoil)
			d.record.add(u.id, "of %s in %s spoils %g of its answers", u.service, u.zone, garblePart)
		}
	}
	time.Sleep(garbleTime)
	for _, u := range upstreams {
		u.spoil.Store(nil)
	}
	time.Sleep(patience + time.Second)
	stop()
	time.Sleep(patience / 2)
	return clients.judgeLost(upstreams, spoilers)
}

func pick(upstreams []*upstream, share float64) []*upstream {
	out := slices.Clone(upstreams)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:int(share*float64(len(out)))]
}

// links limits what spoiled answers bring to each front machine together.
type links struct {
	mu    sync.Mutex
	locks map[string]*link
}

// link is the link of one front machine; free is when it can take the next chunk.
type link struct {
	sync.Mutex
	free time.Time
}

// await waits until the link can take a chunk.
func (l *link) await() {
	l.Lock()
	now := time.Now()
	if l.free.Before(now.Add(-chunkTime * 10)) {
		l.free = now
	}
	until := l.free
	l.free = l.free.Add(chunkTime)
	l.Unlock()
	time.Sleep(time.Until(until))
}

func (l *links) of(front string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.locks[front] == nil {
		l.locks[front] = &link{}
	}
	return l.locks[front]
}

// spoil answers a part of the requests with bytes that are no response.
func (l *links) spoil(d *deployment, w http.ResponseWriter, r *http.Request) bool {
	if rand.Float64() >= garblePart {
		return false
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	id := r.Header.Get("X-Chervilrail-Attempt-Id")
	to, _ := d.sentTo.Load(id)
	front, _ := to.(string)
	link, zeros, total := l.of(front), make([]byte, chunk), 0
	for !d.isClosed() {
		link.await()
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		n, err := conn.Write(zeros)
		total += n
		if err != nil {
			break
		}
	}
	d.record.add("upstream", "sent %d MB that are no response to %s for request %s", total/1_000_000, front, id)
	return true
}

// judgeLost counts, for each front machine, the requests from kept connections that it passed on to a sound upstream
// and whose connection it closed without an answer.
func (c *crowd) judgeLost(upstreams []*upstream, spoilers map[string]bool) (bool, error) {
	ran := map[string]bool{}
	for _, u := range upstreams {
		for _, a := range u.since(time.Time{}) {
			if !spoilers[u.id] {
				ran[a.id] = true
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	lost, served := map[string]int{}, 0
	for _, a := range c.attempts {
		if a.status == http.StatusOK && a.err == nil {
			served++
		}
		if !a.kept || a.err == nil || a.timeUp || !ran[a.id] {
			continue
		}
		lost[a.front]++
		c.d.record.add("lost", "request %s, sent at %.3f to %s, was run by a sound upstream: %v", a.id, c.d.record.at(a.at), a.front, a.err)
	}
	if served == 0 {
		return false, errors.New("no request was served")
	}
	most := 0
	for front, n := range lost {
		c.d.record.add("lost", "%d requests by %s", n, front)
		most = max(most, n)
	}
	c.d.record.add("step", "%d of %d requests served, processes killed for their memory: %d, lost by one machine at most: %d",
		served, len(c.attempts), c.d.killCount(), most)
	return most > 3, nil
}

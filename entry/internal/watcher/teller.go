package watcher

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	// tellPause is the least time between two calls with news, so that a service whose targets die by the dozen does not
	// keep the controllers from their other work.
	tellPause = 100 * time.Millisecond
	// tellTimeout is a round trip between regions with one loss.
	tellTimeout = time.Second
	// maxReports bounds what waits to be told; the oldest are dropped.
	maxReports = 256
	// maxHosts bounds the hosts that wait to be told.
	maxHosts = 4096
)

// teller passes on what the controllers should know at once: that this instance leaves, and which requests were in
// flight when a target died. It has calls of its own. Told by ending the call that waits for news, a stream of such
// reports would keep the news away: each would end a call that had not been answered yet, and an accepted change would
// not come into force here while targets die.
type teller struct {
	leaving atomic.Bool
	// at is the controller that is watched.
	at   atomic.Pointer[netip.AddrPort]
	done chan struct{}

	mu      sync.Mutex
	reports []*wire.Loss
	hosts   []*wire.Host
	wake    chan struct{}
}

func (t *teller) start(w *Watcher) {
	t.done = make(chan struct{})
	t.wake = make(chan struct{}, 1)
	go w.tell()
}

// Leave tells the controllers that this instance stops, so that callers are no longer sent here.
func (w *Watcher) Leave() {
	w.teller.leaving.Store(true)
	w.teller.nudge()
}

// Report passes on that a request was in flight when a target died.
func (w *Watcher) ReportLoss(l *wire.Loss) {
	w.teller.add(l)
	w.teller.nudge()
}

// Settle passes on where an object is kept warm from now on.
func (w *Watcher) ReportHost(h *wire.Host) {
	h.Region = w.Node.GetRegion()
	w.teller.settle(h)
	w.teller.nudge()
}

func (t *teller) add(reports ...*wire.Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports = append(t.reports, reports...)
	if extra := len(t.reports) - maxReports; extra > 0 {
		t.reports = t.reports[extra:]
	}
}

// settle keeps hosts until they can be told; the newest are kept.
func (t *teller) settle(hosts ...*wire.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = append(t.hosts, hosts...)
	if extra := len(t.hosts) - maxHosts; extra > 0 {
		t.hosts = t.hosts[extra:]
	}
}

func (t *teller) take() ([]*wire.Loss, []*wire.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports, hosts := t.reports, t.hosts
	t.reports, t.hosts = nil, nil
	return reports, hosts
}

func (t *teller) nudge() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (w *Watcher) tell() {
	defer close(w.teller.done)
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-w.teller.wake:
		}
		w.tellOnce()
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(tellPause):
		}
	}
}

// tellOnce makes one call. If it fails, the reports wait for the next one; that this instance leaves is part of the next
// call for news, too.
func (w *Watcher) tellOnce() {
	at := w.teller.at.Load()
	if at == nil {
		return
	}
	reports, hosts := w.teller.take()
	ctx, cancel := context.WithTimeout(w.ctx, tellTimeout)
	defer cancel()
	client := wireconnect.NewExchangeClient(w.client, w.Dialer.URL(*at))
	request := &wire.TellRequest{Node: w.node(w.View() == nil), Losses: reports, Hosts: hosts}
	if _, err := client.Tell(ctx, connect.NewRequest(request)); err != nil && w.ctx.Err() == nil {
		_ = level.Warn(w.Logger).Log("msg", "controller not told", "controller", at, "reports", len(reports), "err", err)
		w.teller.add(reports...)
		w.teller.settle(hosts...)
		w.teller.nudge()
	}
}

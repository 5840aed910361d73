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
	// reportInterval is the least time between two calls with news, so that a service whose targets die by the dozen does not
	// keep the controllers from their other work.
	reportInterval = 100 * time.Millisecond
	// reportTimeout is a round trip between regions with one loss.
	reportTimeout = time.Second
	// maxLosses bounds what waits to be told; the oldest are dropped.
	maxLosses = 256
	// maxHosts bounds the hosts that wait to be told.
	maxHosts = 4096
)

// reporter passes on what the controllers should know at once: that this instance leaves, and which requests were in
// flight when a target died. It has calls of its own. Told by ending the call that waits for news, a stream of such
// reports would keep the news away: each would end a call that had not been answered yet, and an accepted change would
// not come into force here while targets die.
type reporter struct {
	leaving atomic.Bool
	// controller is the controller that is watched.
	controller atomic.Pointer[netip.AddrPort]
	done       chan struct{}

	mu     sync.Mutex
	losses []*wire.Loss
	hosts  []*wire.Host
	wake   chan struct{}
}

func (t *reporter) start(w *Watcher) {
	t.done = make(chan struct{})
	t.wake = make(chan struct{}, 1)
	go w.sendReports()
}

// Leave tells the controllers that this instance stops, so that callers are no longer sent here.
func (w *Watcher) Leave() {
	w.reporter.leaving.Store(true)
	w.reporter.signal()
}

// Report passes on that a request was in flight when a target died.
func (w *Watcher) ReportLoss(l *wire.Loss) {
	w.reporter.addLosses(l)
	w.reporter.signal()
}

// Settle passes on where an object is kept warm from now on.
func (w *Watcher) ReportHost(h *wire.Host) {
	h.Region = w.Instance.GetRegion()
	w.reporter.addHosts(h)
	w.reporter.signal()
}

func (t *reporter) addLosses(losses ...*wire.Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.losses = append(t.losses, losses...)
	if excess := len(t.losses) - maxLosses; excess > 0 {
		t.losses = t.losses[excess:]
	}
}

// addHosts keeps hosts until they can be told; the newest are kept.
func (t *reporter) addHosts(hosts ...*wire.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = append(t.hosts, hosts...)
	if excess := len(t.hosts) - maxHosts; excess > 0 {
		t.hosts = t.hosts[excess:]
	}
}

func (t *reporter) takePending() ([]*wire.Loss, []*wire.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	losses, hosts := t.losses, t.hosts
	t.losses, t.hosts = nil, nil
	return losses, hosts
}

func (t *reporter) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (w *Watcher) sendReports() {
	defer close(w.reporter.done)
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-w.reporter.wake:
		}
		w.sendReport()
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(reportInterval):
		}
	}
}

// sendReport makes one call. If it fails, the reports wait for the next one; that this instance leaves is part of the next
// call for news, too.
func (w *Watcher) sendReport() {
	controller := w.reporter.controller.Load()
	if controller == nil {
		return
	}
	losses, hosts := w.reporter.takePending()
	ctx, cancel := context.WithTimeout(w.ctx, reportTimeout)
	defer cancel()
	client := wireconnect.NewExchangeClient(w.client, w.Dialer.URL(*controller))
	request := &wire.TellRequest{Node: w.describe(w.View() == nil), Losses: losses, Hosts: hosts}
	if _, err := client.Tell(ctx, connect.NewRequest(request)); err != nil && w.ctx.Err() == nil {
		_ = level.Warn(w.Logger).Log("msg", "controller not told", "controller", controller, "reports", len(losses), "err", err)
		w.reporter.addLosses(losses...)
		w.reporter.addHosts(hosts...)
		w.reporter.signal()
	}
}

package watcher

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/gossiper"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	// reportInterval is the minimum time between two report calls. It keeps the reports of many targets that die at the
	// same time from delaying the controllers' other work.
	reportInterval = 100 * time.Millisecond
	// reportTimeout allows for a round trip between regions with one lost packet.
	reportTimeout = time.Second
	// maxLosses bounds the losses that are pending; the oldest are dropped.
	maxLosses = 256
	// maxHosts bounds the hosts that are pending; the oldest are dropped.
	maxHosts = 4096
)

// reporter sends to the controllers what must not wait for the next Watch call: that this instance leaves, which
// requests were in flight when a target died, where objects are kept warm, and which limits targets name. It makes calls of its own. If each
// report ended the pending Watch call instead, a stream of reports would delay updates: each would end a call that had
// not been answered yet, and an accepted change would not come into force here while targets die.
type reporter struct {
	leaving atomic.Bool
	// controller is the one that Watch calls go to; nil before the first call.
	controller atomic.Pointer[netip.AddrPort]
	done       chan struct{}

	mu     sync.Mutex
	losses []*wire.Loss
	hosts  []*wire.Host
	// limits are the pending limits of targets, by the target.
	limits map[string]*wire.RateLimit
	// wake holds a value while a report call is requested.
	wake chan struct{}
}

func (t *reporter) start(w *Watcher) {
	t.done = make(chan struct{})
	t.wake = make(chan struct{}, 1)
	go w.sendReports()
}

// Leave reports to the controllers that this instance stops, so that callers are no longer sent here.
func (w *Watcher) Leave() {
	w.reporter.leaving.Store(true)
	w.reporter.signal()
}

// ReportLoss queues a report that a request was in flight when a target died, or that a suspected request succeeded.
func (w *Watcher) ReportLoss(l *wire.Loss) {
	w.reporter.addLosses(l)
	w.reporter.signal()
}

// ReportHost queues a report of the target at which an object is kept warm from now on. It sets the host's region.
func (w *Watcher) ReportHost(h *wire.Host) {
	h.Region = w.Instance.GetRegion()
	w.reporter.addHosts(h)
	w.reporter.signal()
}

// ReportRateLimit queues a report of a limit that a target has named, or that has ended.
func (w *Watcher) ReportRateLimit(l *wire.RateLimit) {
	w.reporter.addLimits(l)
	w.reporter.signal()
}

// addLimits queues limits; of several of one target the one that supersedes the others is kept.
func (t *reporter) addLimits(limits ...*wire.RateLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits == nil {
		t.limits = map[string]*wire.RateLimit{}
	}
	for _, l := range limits {
		if old, ok := t.limits[l.GetTarget()]; !ok || gossiper.RateLimit(l).Supersedes(gossiper.RateLimit(old)) {
			t.limits[l.GetTarget()] = l
		}
	}
}

// takeLimits removes and returns the pending limits.
func (t *reporter) takeLimits() []*wire.RateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := slices.Collect(maps.Values(t.limits))
	t.limits = nil
	return out
}

func (t *reporter) addLosses(losses ...*wire.Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.losses = append(t.losses, losses...)
	if excess := len(t.losses) - maxLosses; excess > 0 {
		t.losses = t.losses[excess:]
	}
}

// addHosts queues hosts for the next report; beyond maxHosts the oldest are dropped.
func (t *reporter) addHosts(hosts ...*wire.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = append(t.hosts, hosts...)
	if excess := len(t.hosts) - maxHosts; excess > 0 {
		t.hosts = t.hosts[excess:]
	}
}

// takePending removes and returns all queued losses and hosts.
func (t *reporter) takePending() ([]*wire.Loss, []*wire.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	losses, hosts := t.losses, t.hosts
	t.losses, t.hosts = nil, nil
	return losses, hosts
}

// signal requests a report call and does not block.
func (t *reporter) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// sendReports makes a call for each signal until the watcher stops, at most one per reportInterval.
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

// sendReport makes one call. If it fails, losses, hosts and limits are queued again for the next one; that this instance leaves
// is part of the next Watch call, too.
func (w *Watcher) sendReport() {
	controller := w.reporter.controller.Load()
	if controller == nil {
		return
	}
	losses, hosts := w.reporter.takePending()
	limits := w.reporter.takeLimits()
	ctx, cancel := context.WithTimeout(w.ctx, reportTimeout)
	defer cancel()
	client := wireconnect.NewExchangeClient(w.client, w.Dialer.URL(*controller))
	request := &wire.TellRequest{Node: w.describe(w.View() == nil), Losses: losses, Hosts: hosts, Ratelimits: limits}
	if _, err := client.Tell(ctx, connect.NewRequest(request)); err != nil && w.ctx.Err() == nil {
		_ = level.Warn(w.Logger).Log("msg", "controller not told", "controller", controller,
			"reports", len(losses), "err", err)
		w.reporter.addLosses(losses...)
		w.reporter.addHosts(hosts...)
		w.reporter.addLimits(limits...)
		w.reporter.signal()
	}
}

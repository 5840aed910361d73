package watcher

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	// reportInterval is the minimum time between two report calls. It keeps the reports of many targets that die at the
	// same time from delaying the controllers' other work.
	reportInterval = 100 * time.Millisecond
	// reportTimeout allows for a round trip between regions with one lost packet.
	reportTimeout = time.Second
)

// reporter sends to the controllers what must not wait for the next Watch call: that this instance leaves, which
// requests were in flight when a target died, where objects are kept warm, and what targets say of themselves. It makes
// calls of its own. If each report ended the pending Watch call instead, a stream of reports would delay updates: each would end a call that had
// not been answered yet, and an accepted change would not come into force here while targets die.
type reporter struct {
	leaving atomic.Bool
	// controller is the one that Watch calls go to; nil before the first call.
	controller atomic.Pointer[netip.AddrPort]
	done       chan struct{}

	pending pendingReports
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
	w.reporter.pending.addLosses(l)
	w.reporter.signal()
}

// ReportHost queues a report of the target at which an object is kept warm from now on. It sets the host's region.
func (w *Watcher) ReportHost(h *wire.Host) {
	h.Region = w.Instance.GetRegion()
	w.reporter.pending.addHosts(h)
	w.reporter.signal()
}

// ReportRateLimit queues a report of a limit that a target has named, or that has ended.
func (w *Watcher) ReportRateLimit(l *wire.RateLimit) {
	w.reporter.pending.addLimits(l)
	w.reporter.signal()
}

// ReportLeave queues a report that an incarnation of a target said in an answer that it leaves.
func (w *Watcher) ReportLeave(target string, incarnation uint64) {
	w.reporter.pending.addLeaves(&wire.Leave{Target: target, Incarnation: incarnation})
	w.reporter.signal()
}

// ReportBackoff queues a report that a target wants no requests of this instance until a time.
func (w *Watcher) ReportBackoff(target string, incarnation uint64, until time.Time) {
	w.reporter.pending.addBackoff(target, pendingBackoff{incarnation, until})
	w.reporter.signal()
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

// sendReport makes one call. If it fails, what it held is queued again for the next one; that this instance leaves is
// part of the next Watch call, too.
func (w *Watcher) sendReport() {
	controller := w.reporter.controller.Load()
	if controller == nil {
		return
	}
	reports := w.reporter.pending.take()
	ctx, cancel := context.WithTimeout(w.ctx, reportTimeout)
	defer cancel()
	client := wireconnect.NewExchangeClient(w.client, w.Dialer.URL(*controller))
	request := reports.request(time.Now())
	request.Node = w.describe(w.View() == nil)
	if _, err := client.Tell(ctx, connect.NewRequest(request)); err != nil && w.ctx.Err() == nil {
		_ = level.Warn(w.Logger).Log("msg", "controller not told", "controller", controller,
			"reports", reports.count(), "err", err)
		w.reporter.pending.restore(reports)
		w.reporter.signal()
	}
}

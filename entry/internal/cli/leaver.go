package cli

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/kernel"
	"chervilrail.example/core/listener"
	"chervilrail.example/core/stopper"
	"chervilrail.example/entry/internal/carrier"
	"chervilrail.example/entry/internal/watcher"
)

// leaver is the service that is stopped first: it lets callers move to other instances before anything is closed.
// Callers keep the answers to look-ups for a while and connections for longer, so closing at once would cut off
// requests that are just being sent.
type leaver struct {
	watcher *watcher.Watcher
	carrier *carrier.Carrier
	caller  *listener.Listener
	logger  log.Logger
	leaving atomic.Bool
}

// Name implements kernel.Service.
func (l *leaver) Name() string { return "leave" }

// Start implements kernel.Service.
func (l *leaver) Start(context.Context, kernel.Finder) error { return nil }

// Health implements kernel.Service. It returns a *carrier.StoppingError once the instance leaves.
func (l *leaver) Health() error {
	if l.leaving.Load() {
		return &carrier.StoppingError{}
	}
	return nil
}

// Stop removes the instance from the look-ups and asks callers, with each answer, to open their next connection
// elsewhere. It returns at the deadline Serve of the stop.
func (l *leaver) Stop(ctx context.Context) error {
	d := stopper.FromContext(ctx)
	l.leaving.Store(true)
	l.caller.Leave()
	l.carrier.Leave(d)
	l.watcher.Leave()
	_ = level.Info(l.logger).Log("msg", "leaving", "serve", time.Until(d.Serve))
	select {
	case <-time.After(time.Until(d.Serve)):
	case <-ctx.Done():
	}
	return nil
}

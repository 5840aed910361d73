package cli

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/kernel"
	"chervilrail.example/entry/internal/carrier"
	"chervilrail.example/entry/internal/watcher"
)

// leaver is the service that stops first: it lets callers move on before anything is closed. Callers keep answers
// to look-ups for a while and connections for longer, so a stop that closed at once would cut requests that were
// just being sent.
type leaver struct {
	watcher *watcher.Watcher
	carrier *carrier.Carrier
	// serve is how long requests are still taken after the instance is out of the look-ups.
	serve   time.Duration
	logger  log.Logger
	leaving atomic.Bool
}

// Name implements kernel.Service.
func (l *leaver) Name() string { return "leave" }

// Start implements kernel.Service.
func (l *leaver) Start(context.Context, kernel.Finder) error { return nil }

// Health implements kernel.Service.
func (l *leaver) Health() error {
	if l.leaving.Load() {
		return &carrier.StoppingError{}
	}
	return nil
}

// Stop takes the instance out of the look-ups and asks callers, answer by answer, to open their next connection
// elsewhere.
func (l *leaver) Stop(ctx context.Context) error {
	l.leaving.Store(true)
	l.carrier.CloseConnections()
	l.watcher.Leave()
	_ = level.Info(l.logger).Log("msg", "leaving", "serve", l.serve)
	select {
	case <-time.After(l.serve):
	case <-ctx.Done():
	}
	return nil
}

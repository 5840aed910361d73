// Package reloader reloads a program's settings on SIGHUP.
package reloader

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/kernel"
)

// Reloader is a service that reloads the settings on SIGHUP. By default the signal would end the process and all its
// requests. Set the exported fields before Start.
type Reloader struct {
	// Load reads the settings and applies those that may change while the program runs. If it returns an error, the
	// former settings must stay in use.
	Load   func() error
	Logger log.Logger

	signals chan os.Signal
	done    chan struct{}
}

// Name implements kernel.Service.
func (r *Reloader) Name() string { return "reload" }

// Start implements kernel.Service: it starts waiting for signals.
func (r *Reloader) Start(context.Context, kernel.Finder) error {
	r.signals = make(chan os.Signal, 1)
	r.done = make(chan struct{})
	signal.Notify(r.signals, syscall.SIGHUP)
	go r.run()
	return nil
}

func (r *Reloader) run() {
	defer close(r.done)
	for range r.signals {
		if err := r.Load(); err != nil {
			_ = level.Error(r.Logger).Log("msg", "reload refused", "err", err)
			continue
		}
		_ = level.Info(r.Logger).Log("msg", "reloaded")
	}
}

// Stop implements kernel.Service: it stops reloading. From then on SIGHUP is ignored: it must not end the process
// before the program has stopped.
func (r *Reloader) Stop(context.Context) error {
	if r.signals != nil {
		signal.Stop(r.signals)
		signal.Ignore(syscall.SIGHUP)
		close(r.signals)
		<-r.done
	}
	return nil
}

// Health implements kernel.Service.
func (r *Reloader) Health() error { return nil }

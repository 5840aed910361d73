// Package reloader reads a program's settings again when it is told that they have changed.
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

// Reloader is a service that waits for SIGHUP, whose default would end the process with all its requests. Set the
// exported fields before Start.
type Reloader struct {
	// Load reads the settings and puts in force what may change while the program runs. After an error the former
	// settings stay.
	Load   func() error
	Logger log.Logger

	signals chan os.Signal
	done    chan struct{}
}

// Name implements kernel.Service.
func (r *Reloader) Name() string { return "reload" }

// Start begins to wait.
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

// Stop ends waiting. The signal stays caught: one that comes while the program stops must not cut the stop short.
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

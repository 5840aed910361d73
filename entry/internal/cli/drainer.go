package cli

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/kernel"
	"chervilrail.example/core/listener"
	"chervilrail.example/core/stopper"
	"chervilrail.example/entry/internal/directory"
	"chervilrail.example/entry/internal/forwarder"
)

// drainer is the service that is stopped first. Callers cache the answers to look-ups, so an instance that refused
// requests as soon as it has to stop would turn away callers that were directed to it just before.
type drainer struct {
	directory *directory.Directory
	forwarder *forwarder.Forwarder
	caller    *listener.Listener
	logger    log.Logger
}

// Name implements kernel.Service.
func (d *drainer) Name() string { return "drainer" }

// Start implements kernel.Service.
func (d *drainer) Start(context.Context, kernel.Finder) error { return nil }

// Health implements kernel.Service.
func (d *drainer) Health() error { return nil }

// Stop marks the instance as leaving, so that look-ups no longer name it, and serves requests that end in time until the
// deadline Serve of the stop. Then it refuses new requests.
func (d *drainer) Stop(ctx context.Context) error {
	deadlines := stopper.FromContext(ctx)
	d.forwarder.Leave(deadlines)
	d.directory.Leave()
	_ = level.Info(d.logger).Log("msg", "leaving", "until", deadlines.Serve.UTC().Format(time.RFC3339))
	select {
	case <-time.After(time.Until(deadlines.Serve)):
	case <-ctx.Done():
	}
	d.caller.Leave()
	d.forwarder.RefuseNew()
	_ = level.Info(d.logger).Log("msg", "refusing new requests", "running", d.forwarder.Running())
	return nil
}

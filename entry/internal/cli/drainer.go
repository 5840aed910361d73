package cli

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/kernel"
	"chervilrail.example/entry/internal/directory"
	"chervilrail.example/entry/internal/forwarder"
)

// spreadRounds is how many heartbeats it may take until every instance knows that this one leaves.
const spreadRounds = 3

// drainer is stopped first. Callers keep look-up answers, so an instance that refused work as soon as it
// was told to stop would turn away callers who were sent to it a moment ago.
type drainer struct {
	directory *directory.Directory
	forwarder *forwarder.Forwarder
	life      time.Duration
	every     time.Duration
	logger    log.Logger
}

func (d *drainer) Name() string { return "drainer" }

func (d *drainer) Start(context.Context, kernel.Finder) error { return nil }

func (d *drainer) Health() error { return nil }

// Stop has the instance no longer named, waits out the answers that name it, and then refuses new work.
func (d *drainer) Stop(ctx context.Context) error {
	d.directory.Leave()
	wait := d.life + spreadRounds*d.every
	_ = level.Info(d.logger).Log("msg", "leaving", "until", time.Now().Add(wait).UTC().Format(time.RFC3339))
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	d.forwarder.RefuseNew()
	_ = level.Info(d.logger).Log("msg", "refusing new requests", "running", d.forwarder.Running())
	return nil
}

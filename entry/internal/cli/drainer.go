package cli

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/kernel"
	"chervilrail.example/core/listener"
	"chervilrail.example/entry/internal/directory"
	"chervilrail.example/entry/internal/forwarder"
)

// leaveHeartbeats is how many heartbeats it may take until every instance has learnt that this one leaves.
const leaveHeartbeats = 3

// drainer is the service that is stopped first. Callers cache the answers to look-ups, so an instance that refused
// requests as soon as it has to stop would turn away callers that were directed to it just before.
type drainer struct {
	directory *directory.Directory
	forwarder *forwarder.Forwarder
	caller    *listener.Listener
	// answerMaxAge is how long callers keep answers that name this instance.
	answerMaxAge      time.Duration
	heartbeatInterval time.Duration
	logger            log.Logger
}

// Name implements kernel.Service.
func (d *drainer) Name() string { return "drainer" }

// Start implements kernel.Service.
func (d *drainer) Start(context.Context, kernel.Finder) error { return nil }

// Health implements kernel.Service.
func (d *drainer) Health() error { return nil }

// Stop marks the instance as leaving, so that look-ups no longer name it, waits until the answers that name it have
// expired, and then refuses new requests.
func (d *drainer) Stop(ctx context.Context) error {
	d.directory.Leave()
	wait := d.answerMaxAge + leaveHeartbeats*d.heartbeatInterval
	_ = level.Info(d.logger).Log("msg", "leaving", "until", time.Now().Add(wait).UTC().Format(time.RFC3339))
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	d.caller.Leave()
	d.forwarder.RefuseNew()
	_ = level.Info(d.logger).Log("msg", "refusing new requests", "running", d.forwarder.Running())
	return nil
}

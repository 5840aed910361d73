package cli

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/kernel"
	"chervilrail.example/core/pipeliner"
	"chervilrail.example/core/stopper"
	"chervilrail.example/entry/internal/config"
)

// shortGrace is the shortest grace period that can be set, and renewal how often instances exchange what they know.
const (
	shortGrace = time.Second
	renewal    = 200 * time.Millisecond
)

// Guards against an instance that goes on taking requests while others learn that it leaves, until no time is left to end
// them: all that is in progress is cut.
func TestOwnInterfaceLeavesTimeForRequestsInProgress(t *testing.T) {
	is := is.New(t)
	address, err := pipeliner.FreeAddress()
	is.NoErr(err)
	p := newProgram("", &config.Config{
		Caller: address, LogFormat: "logfmt", LogLevel: "error", RenewInterval: renewal,
		StopTimeout: stopper.TimeoutFor(shortGrace), AnswerMaxAge: stopper.ServeFor(shortGrace),
	})
	defer p.closeLog()
	k := p.kernel()
	last := len(k.Services) - 1
	caller, drain := k.Services[last-1], k.Services[last]
	for _, s := range []kernel.Service{p.forwarder, caller, drain} {
		is.NoErr(s.Start(t.Context(), k))
	}
	d := k.Stopper.From(time.Now())
	ctx, cancel := stopper.NewContext(t.Context(), d)
	defer cancel()
	is.NoErr(drain.Stop(ctx))
	is.True(time.Now().Before(d.Cut))
	is.NoErr(caller.Stop(ctx))
	is.NoErr(p.forwarder.Stop(ctx))
}

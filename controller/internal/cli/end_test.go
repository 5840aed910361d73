package cli

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/controller/internal/changer"
	"chervilrail.example/controller/internal/config"
	"chervilrail.example/controller/internal/consenter"
	"chervilrail.example/controller/internal/counter"
	"chervilrail.example/core/closer"
	"chervilrail.example/core/pipeliner"
	"chervilrail.example/core/stopper"
	"chervilrail.example/core/wire"
	"chervilrail.example/platform/translator"
)

// stalledConsensus accepts commands and never learns whether they take effect, as a leader that has lost its followers. It
// reports each on begun.
type stalledConsensus struct{ begun chan bool }

func (s *stalledConsensus) Propose(ctx context.Context, _ *wire.Command) (*wire.Result, error) {
	s.begun <- true
	<-ctx.Done()
	return nil, &consenter.OutcomeUnknownError{}
}

// Guards against operators that get no answer to an order which waits for consensus when its controller stops: they wait for
// one on a connection that is cut, in place of sending the order to another controller.
func TestOrdersThatCannotEndAreAnsweredBeforeTheCut(t *testing.T) {
	for name, grace := range map[string]time.Duration{"shortest": time.Second, "longer": 2 * time.Second} {
		for _, path := range []string{"/chervilrail/rpc?call=config.put", "/chervilrail/rpc?call=evacuations.start&of=z1"} {
			t.Run(name+path, func(t *testing.T) { assertAnsweredBeforeTheCut(t, path, grace) })
		}
	}
}

func assertAnsweredBeforeTheCut(t *testing.T, path string, grace time.Duration) {
	t.Helper()
	is := is.New(t)
	address, err := pipeliner.FreeAddress()
	is.NoErr(err)
	stalled := &stalledConsensus{make(chan bool, 1)}
	closing := &closer.Closer{Logger: log.NewNopLogger()}
	services := platformListeners(&config.Config{Callers: address}, &counter.Counter{}, closing, &translator.PlatformHandler{
		Changer: &changer.Changer{Consensus: stalled, Logger: log.NewNopLogger()}, Logger: log.NewNopLogger(),
	})
	is.NoErr(services[0].Start(t.Context(), nil))
	c, err := (&pipeliner.Pipeliner{}).Dial(t.Context(), address.String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	body := `{"version":"r1","baseVersion":"r0","routes":[],"services":[]}`
	is.NoErr(c.Post(path, "", len(body), []byte(body)))
	<-stalled.begun
	d := stopper.Stopper{Timeout: stopper.TimeoutFor(grace), Reserve: stopReserve}.From(time.Now())
	ctx, cancel := stopper.NewContext(t.Context(), d)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- services[0].Stop(ctx) }()
	is.NoErr(c.SetReadDeadline(d.Exit))
	answer, err := c.Receive()
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusServiceUnavailable)
	is.True(time.Now().Before(d.Cut))
	is.NoErr(<-stopped)
}

package cli

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/controller/internal/config"
	"chervilrail.example/controller/internal/counter"
	"chervilrail.example/core/closer"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/pipeliner"
	"chervilrail.example/core/wire"
	"chervilrail.example/platform/translator"
)

const (
	// stopTimeout is how long the planned stops of these tests may take.
	stopTimeout = 5 * time.Second
	// lostTime is how long packets to a caller are lost, settleTime longer than a local call takes to the controller.
	lostTime   = 300 * time.Millisecond
	settleTime = 50 * time.Millisecond
	// answerTimeout is how long a caller waits for an answer whose packets are no longer lost.
	answerTimeout = 1500 * time.Millisecond
	// bodySize is the size in bytes of a call that the server does not read at once.
	bodySize = 16 << 10
)

// heldChanger accepts every command after it was released.
type heldChanger struct{ begun, release chan bool }

func (h *heldChanger) wait() {
	h.begun <- true
	<-h.release
}

func (h *heldChanger) Change(context.Context, *wire.PlanChange) (*wire.PlanVerdict, error) {
	h.wait()
	return &wire.PlanVerdict{Outcome: wire.PlanOutcome_PLAN_ACCEPTED}, nil
}

func (h *heldChanger) Read(context.Context) (*wire.Plan, error) { return &wire.Plan{}, nil }

func (h *heldChanger) Evacuate(context.Context, string, bool) error {
	h.wait()
	return nil
}

func (h *heldChanger) Announce(context.Context, *wire.Record) error { return nil }

func (h *heldChanger) Leave(context.Context, string, uint64) error {
	h.wait()
	return nil
}

// startListener starts the listener for operators and targets with commands that wait to be released.
func startListener(t *testing.T) (kernel.Service, netip.AddrPort, *heldChanger) {
	t.Helper()
	is := is.New(t)
	address, err := pipeliner.FreeAddress()
	is.NoErr(err)
	held := &heldChanger{make(chan bool, 2), make(chan bool, 2)}
	services := platformListeners(&config.Config{Callers: address}, &counter.Counter{}, &closer.Closer{Logger: log.NewNopLogger()}, &translator.PlatformHandler{
		Changer: held, TargetRegistry: held, Logger: log.NewNopLogger(),
	})
	is.Equal(len(services), 1)
	is.NoErr(services[0].Start(t.Context(), nil))
	return services[0], address, held
}

// Guards against operators and targets that don't learn that their order was accepted: a planned stop discards the
// acknowledgement, since the caller has sent more calls on the connection, and it is not delivered yet.
func TestStopDeliversAcknowledgements(t *testing.T) {
	cases := map[string]string{
		"plan":       "/chervilrail/rpc?call=config.put",
		"evacuation": "/chervilrail/rpc?call=evacuations.start&of=z1",
		"leave":      "/chervilrail/rpc?call=instances.leave&of=t1",
	}
	for name, path := range cases {
		t.Run(name, func(t *testing.T) { assertAcknowledged(t, path, 0) })
		t.Run(name+" before another call", func(t *testing.T) { assertAcknowledged(t, path, bodySize) })
	}
}

// assertAcknowledged fails unless an order is acknowledged whose execution ends during a planned stop, while packets to its
// caller are lost for a moment. The caller sends another call with a body of some size behind it, unless that is zero, and has
// to get an answer to that, too.
func assertAcknowledged(t *testing.T, path string, behind int) {
	t.Helper()
	is := is.New(t)
	service, address, held := startListener(t)
	c, err := (&pipeliner.Pipeliner{}).Dial(t.Context(), address.String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	body := `{"version":"r1","baseVersion":"r0","routes":[],"services":[],"born":1}`
	is.NoErr(c.Post(path, "", len(body), []byte(body)))
	if behind > 0 {
		is.NoErr(c.Post(path, "", behind, []byte(strings.Repeat(" ", behind))))
	}
	<-held.begun
	time.Sleep(settleTime)
	is.NoErr(c.Drop(true))
	stopped := stopService(service)
	time.Sleep(settleTime)
	held.release <- true
	held.release <- true // for the call behind it
	time.Sleep(lostTime)
	is.NoErr(c.Drop(false))
	is.NoErr(c.SetReadDeadline(time.Now().Add(answerTimeout)))
	answer, err := c.Receive()
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusOK)
	if behind > 0 {
		_, err = c.Receive()
		is.NoErr(err)
	}
	_ = c.Close()
	is.NoErr(<-stopped)
}

// stopService stops a service; its result is sent when it has stopped.
func stopService(s kernel.Service) <-chan error {
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		stopped <- s.Stop(ctx)
	}()
	return stopped
}

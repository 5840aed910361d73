package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/stopper"
)

// patience is how long the planned stops of these tests may take.
const patience = 2 * time.Second

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer socket.Close()
	return netip.MustParseAddrPort(socket.Addr().String())
}

func start(t *testing.T, handler http.HandlerFunc) *Listener {
	t.Helper()
	l := &Listener{ServiceName: "test", Address: freeAddress(t), Handler: handler, Logger: log.NewNopLogger()}
	is.New(t).NoErr(l.Start(t.Context(), nil))
	return l
}

func stop(l *Listener) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return l.Stop(ctx)
}

// Guards against a planned stop that fails since a client has opened a connection and not used it: the process ended
// with an error, and what stops after the listener had no time left.
func TestUnusedConnectionDoesNotDelayStop(t *testing.T) {
	is := is.New(t)
	l := start(t, func(http.ResponseWriter, *http.Request) {})
	c, err := net.Dial("tcp", l.Address.String())
	is.NoErr(err)
	defer c.Close()
	time.Sleep(unusedGrace / 2) // the server has accepted it
	started := time.Now()
	is.NoErr(stop(l))
	is.True(time.Since(started) < patience/2)
}

// Guards against a planned stop that cuts a request which would still have been answered.
func TestStopWaitsForRequestsInProgress(t *testing.T) {
	is := is.New(t)
	begun := make(chan bool, 1)
	l := start(t, func(w http.ResponseWriter, _ *http.Request) {
		begun <- true
		time.Sleep(2 * unusedGrace)
		w.WriteHeader(http.StatusNoContent)
	})
	status := make(chan int, 1)
	go func() {
		response, err := http.Get("http://" + l.Address.String())
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	<-begun
	is.NoErr(stop(l))
	is.Equal(<-status, http.StatusNoContent)
}

// Guards against one request that never ends and takes all services of the process the time to stop.
func TestStopCutsRequestsThatNeverEnd(t *testing.T) {
	is := is.New(t)
	begun, end := make(chan bool, 1), make(chan bool)
	l := start(t, func(http.ResponseWriter, *http.Request) {
		begun <- true
		<-end
	})
	defer close(end)
	go func() { _, _ = http.Get("http://" + l.Address.String()) }()
	<-begun
	started := time.Now()
	ctx, cancel := stopper.NewContext(t.Context(), stopper.Deadlines{
		Cut: started.Add(patience / 2), Close: started.Add(patience), Exit: started.Add(patience),
	})
	defer cancel()
	var cut *CutError
	is.True(errors.As(l.Stop(ctx), &cut))
	is.True(time.Since(started) < patience*3/4)
}

// Guards against callers whose connections take all descriptors of a controller, so that it can't accept the calls of the
// others.
func TestFurtherConnectionsAreRefused(t *testing.T) {
	is := is.New(t)
	l := &Listener{
		ServiceName: "test", Address: freeAddress(t), Logger: log.NewNopLogger(), Bound: &Bound{Max: 2},
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
	}
	is.NoErr(l.Start(t.Context(), nil))
	defer func() { is.NoErr(stop(l)) }()
	get := func(c *http.Client) error {
		response, err := c.Get("http://" + l.Address.String())
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}
	clients := []*http.Client{{Transport: &http.Transport{}}, {Transport: &http.Transport{}}, {Transport: &http.Transport{}}}
	is.NoErr(get(clients[0]))
	is.NoErr(get(clients[1]))
	is.True(get(clients[2]) != nil)
	is.True(l.Bound.Refused() > 0)
	clients[0].CloseIdleConnections()
	deadline := time.Now().Add(patience)
	for get(clients[2]) != nil {
		is.True(time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
	is.NoErr(get(clients[1]))
}

package trials

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/pipeliner"
	"chervilrail.example/platform/speaker"
	"chervilrail.example/platform/translator"
	"chervilrail.example/standin/internal/relayer"
	"chervilrail.example/standin/internal/starter"
)

// silenceInterval is the interval at which new connections to silent targets go silent.
const silenceInterval = time.Millisecond

// silentFleet starts entry instances and targets whose answers are dropped once the fleet serves.
func silentFleet(t *testing.T, entries int) *fleet {
	t.Helper()
	var relays []*relayer.Relay
	f := startFleetWith(t, 3, entries, 2, func(o *speaker.Target) {
		r := &relayer.Relay{}
		relays = append(relays, r)
		o.MapAddress = func(address string) (string, error) {
			r.Target = address
			return r.Start("127.0.0.1")
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ; ctx.Err() == nil; time.Sleep(silenceInterval) {
			for _, r := range relays {
				r.DropAnswers()
			}
		}
	}()
	return f
}

// sendDuringStop stops an entry instance, and sends it a request some time after SIGTERM. It returns the status of the
// answer, zero for none, and the process's exit error.
func (f *fleet) sendDuringStop(t *testing.T, i int, after time.Duration) (status int, exit error) {
	t.Helper()
	is := is.New(t)
	p := f.Entries[i]
	p.Terminate()
	time.Sleep(after)
	address := net.JoinHostPort(p.Address.String(), strconv.Itoa(starter.CallerPort))
	conn, err := (&pipeliner.Pipeliner{}).Dial(t.Context(), address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.Get("/long/1?n=1", fmt.Sprintf("%s: stop-%d\r\n%s: %d\r\n", translator.HeaderAttemptID, i,
		translator.HeaderDeadline, speaker.LongTimeout.Milliseconds())))
	if answer, err := conn.Receive(); err == nil {
		status = answer.Status
	}
	return status, p.Wait(timeout)
}

// Guards against a planned stop that cuts a request at a silent target and gives it no answer, whether its time ends before
// the stop or after it.
func TestStopAwaitsTheTimeOfRequests(t *testing.T) {
	f := silentFleet(t, 2)
	t.Run("ends before the stop", func(t *testing.T) {
		status, exit := f.sendDuringStop(t, 0, time.Second)
		is.New(t).Equal(status, http.StatusGatewayTimeout)
		is.New(t).NoErr(exit)
	})
	t.Run("ends after the stop", func(t *testing.T) {
		status, exit := f.sendDuringStop(t, 1, 2*time.Second)
		is.New(t).Equal(status, http.StatusGatewayTimeout)
		is.New(t).NoErr(exit)
	})
}

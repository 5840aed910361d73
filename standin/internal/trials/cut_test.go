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

// sendDuringStop stops an entry instance, and sends it a request some time after SIGTERM, or before it. It returns the status
// of the answer, zero for none, how long it took, and the process's exit error.
func (f *fleet) sendDuringStop(t *testing.T, i int, after time.Duration) (status int, took time.Duration, exit error) {
	t.Helper()
	is := is.New(t)
	p := f.Entries[i]
	if after >= 0 {
		p.Terminate()
		time.Sleep(after)
	}
	address := net.JoinHostPort(p.Address.String(), strconv.Itoa(starter.CallerPort))
	conn, err := (&pipeliner.Pipeliner{}).Dial(t.Context(), address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	sentAt := time.Now()
	is.NoErr(conn.Get("/long/1?n=1", fmt.Sprintf("%s: stop-%d\r\n%s: %d\r\n", translator.HeaderAttemptID, i,
		translator.HeaderDeadline, speaker.LongTimeout.Milliseconds())))
	if after < 0 {
		time.Sleep(-after)
		p.Terminate()
	}
	if answer, err := conn.Receive(); err == nil {
		status = answer.Status
	}
	return status, time.Since(sentAt), p.Wait(timeout)
}

// Guards against a planned stop that cuts a request at a silent target and gives it no answer, and against one that takes a
// request which may outlast it.
func TestStopAwaitsTheTimeOfRequests(t *testing.T) {
	f := silentFleet(t, 3)
	cases := []struct {
		name   string
		after  time.Duration
		status int
		least  time.Duration
		most   time.Duration
	}{
		{"limit ends before the stop", time.Second, http.StatusGatewayTimeout, speaker.LongTimeout, speaker.LongTimeout + time.Second/2},
		{"limit ends after the stop", 2 * time.Second, http.StatusServiceUnavailable, 0, time.Second / 4},
		{"sent before the stop", -time.Second / 2, http.StatusGatewayTimeout, speaker.LongTimeout, speaker.LongTimeout + time.Second/2},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, took, exit := f.sendDuringStop(t, i, c.after)
			is.Equal(status, c.status)
			is.True(took >= c.least && took < c.most)
			is.NoErr(exit)
		})
	}
}

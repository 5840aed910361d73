package carrier

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/placer"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/entry/internal/pooler"
)

// Guards against leaving undelivered requests to a withdrawn target in flight, and against cancelling those to a target
// that stays.
func TestUndeliveredRequestsToWithdrawnTargetAreCancelled(t *testing.T) {
	for name, kept := range map[string]bool{"withdrawn": false, "kept": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, s := startCarrier(t, scriptedAttempt{hang: true})
			view := *c.Views.View()
			view.Table.Plan.Routes[1].Timeout = int64(3 * time.Second)
			done := make(chan int, 1)
			go func() { done <- sendRequest(c, http.MethodPost, "/once/1").Code }()
			time.Sleep(50 * time.Millisecond)
			if !kept {
				view.Targets = map[string][]placer.Spec{}
			}
			c.ApplyView(&view)
			is.Equal(s.countCancelCalls(), 0) // the last request may still be opening its connection
			time.Sleep(undeliveredCheckDelay + 5*tickInterval)
			is.Equal(s.countCancelCalls() > 0, !kept)
			is.Equal(<-done, http.StatusGatewayTimeout)
		})
	}
}

// Guards against quarantining requests because of targets that were unreachable and never received them.
func TestUndeliveredRequestIsNotSuspect(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		losses int
	}{
		"undelivered bytes": {&pooler.UndeliveredError{
			Address: netip.MustParseAddrPort("127.0.0.1:1"), Bytes: 9, Err: http.ErrHandlerTimeout,
		}, 0},
		"arrived": {http.ErrHandlerTimeout, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			carrier, _ := startCarrier(t, scriptedAttempt{})
			j := &job{fingerprint: quarantiner.Fingerprint{1}}
			target := &placer.Spec{Name: "t1", Incarnation: 1}
			carrier.recordLoss(j, target, loss{sendOutcome: pooler.Broken, err: c.err})
			is.Equal(carrier.Quarantine.Losses(time.Now(), j.fingerprint), c.losses)
		})
	}
}

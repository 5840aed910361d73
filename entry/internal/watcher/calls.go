package watcher

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/packer"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	// callTimeout is how long a call keeps this instance from calling another controller. It covers the second for which a
	// controller holds a call without changes, and a round trip with one lost packet.
	callTimeout = 1500 * time.Millisecond
	// secondTimeout is the same for the call that follows one without an answer. Controllers answer it at once, and the
	// next one may have ended without a sign.
	secondTimeout = 300 * time.Millisecond
	// maxLate is how many calls go on after that. Where the link of this instance is full, all answers come late: given
	// up, none would ever arrive.
	maxLate = 2
	// lateTimeout ends such calls, with those that have replaced them.
	lateTimeout = (maxLate + 1) * callTimeout
)

// call is a Watch call. Only its goroutine uses ctx.
type call struct {
	controller netip.AddrPort
	sent       time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	// usage tells which connection the call uses.
	usage *dialer.Usage
}

// outcome is how a call ended.
type outcome struct {
	call     *call
	response *wire.WatchResponse
	err      error
}

// startCall calls the present controller. The outcome arrives in outcomes.
func (w *Watcher) startCall() *call {
	c := &call{controller: w.state.controller, sent: time.Now()}
	c.ctx, c.cancel = context.WithTimeout(w.ctx, lateTimeout)
	c.ctx, c.usage = dialer.WithUsage(c.ctx)
	request := w.request()
	w.calls.Go(func() {
		defer c.cancel()
		client := wireconnect.NewExchangeClient(w.client, w.Dialer.URL(c.controller))
		o := outcome{call: c}
		var response *connect.Response[wire.WatchResponse]
		if response, o.err = client.Watch(c.ctx, connect.NewRequest(request)); o.err == nil {
			o.response = response.Msg
			o.err = packer.Unpack(o.response)
		}
		select {
		case w.outcomes <- o:
		case <-w.ctx.Done():
		}
	})
	return c
}

// patience returns how long the next outcome is awaited. Beyond the second call it is as long as for the first: where the
// link of this instance is full, more calls would fill it further.
func (w *Watcher) patience() time.Duration {
	if len(w.state.late) == 1 {
		return secondTimeout
	}
	return callTimeout
}

// await returns the outcome of a call, or the answer to an earlier one that comes first. A call without an answer in time
// becomes a late one, and its outcome here is a NoAnswerError.
func (w *Watcher) await(current *call) outcome {
	s := &w.state
	timer := time.NewTimer(time.Until(current.sent.Add(w.patience())))
	defer timer.Stop()
	for {
		select {
		case o := <-w.outcomes:
			if o.call == current || o.err == nil && slices.Contains(s.late, o.call) {
				return o
			}
		case <-w.ctx.Done():
			return outcome{call: current, err: w.ctx.Err()}
		case <-timer.C:
			s.late = append(s.late, current)
			if len(s.late) > maxLate {
				s.late[0].cancel()
				s.late = slices.Delete(s.late, 0, 1)
			}
			return outcome{call: current, err: &NoAnswerError{Controller: current.controller}}
		}
	}
}

// adopt makes the controller that answered first the present one and gives up all other calls: the state here is that
// of its answer, and what others would add comes with the next call.
func (w *Watcher) adopt(answered, current *call) {
	s := &w.state
	for _, c := range append(s.late, current) {
		if c != answered {
			c.cancel()
		}
	}
	s.late = nil
	w.switchTo([]netip.AddrPort{answered.controller})
}

// NoAnswerError reports that a controller has not answered a call in time.
type NoAnswerError struct{ Controller netip.AddrPort }

// Error implements error.
func (e *NoAnswerError) Error() string {
	return e.Controller.String() + " has not answered in time"
}

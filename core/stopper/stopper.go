// Package stopper works out the deadlines of a planned stop.
package stopper

import (
	"context"
	"time"
)

const (
	// exitMargin is the time between the end of all services and the kill: the process still has to end, and on a busy
	// machine both the signal and the end come late.
	exitMargin = 500 * time.Millisecond
	// closeMargin is the time between the end of the last connections and that of all services.
	closeMargin = 50 * time.Millisecond
	// minCloseMargin is the least such time: it takes a few milliseconds to count and log the last closes.
	minCloseMargin = 15 * time.Millisecond
	// endMargin is the time between the last answers of requests and the cut of their connections.
	endMargin = 200 * time.Millisecond
	// serveLimit is how long new requests are taken at most: callers have read new look-ups by then.
	serveLimit = 5 * time.Second
	// fullGrace is the grace period from which on margins have their full length. Those of a shorter one are shorter in
	// proportion: else they would leave no time for what is in progress.
	fullGrace = 6 * time.Second
)

// Stopper is what a planned stop of a process is worked out from.
type Stopper struct {
	// Timeout is the time from the signal to stop until all services have stopped.
	Timeout time.Duration
	// Serve is how long new requests are taken, as far as they end in time.
	Serve time.Duration
	// Reserve is the time that is left for other services once the last connections are cut. It is shorter in proportion
	// for a short Timeout.
	Reserve time.Duration
}

// Deadlines are the deadlines of a planned stop, in their order.
type Deadlines struct {
	// Began is when the process was told to stop.
	Began time.Time
	// Serve is until when connections are accepted. Afterwards only those that are open may bring requests.
	Serve time.Time
	// End is when the last request has its final answer: none may be taken whose limit ends later.
	End time.Time
	// Cut is when connections are cut on which an answer is not written yet.
	Cut time.Time
	// Close is when connections are given up whose other end has not received everything.
	Close time.Time
	// Exit is when all services have stopped.
	Exit time.Time
}

// TimeoutFor returns the Timeout for a grace period, the time from the signal to stop until the kill.
func TimeoutFor(grace time.Duration) time.Duration { return grace - scale(exitMargin, grace) }

// ServeFor returns Serve for a grace period: half of it is left for the requests that have been taken by then.
func ServeFor(grace time.Duration) time.Duration {
	return min(serveLimit, TimeoutFor(grace)-grace/2)
}

// scale returns a margin for a grace period.
func scale(margin, grace time.Duration) time.Duration {
	if grace >= fullGrace {
		return margin
	}
	return time.Duration(float64(margin) * float64(grace) / float64(fullGrace))
}

// graceFor returns the grace period for which TimeoutFor returns a time-out.
func graceFor(timeout time.Duration) time.Duration {
	if grace := timeout + exitMargin; grace >= fullGrace {
		return grace
	}
	return time.Duration(float64(timeout) * float64(fullGrace) / float64(fullGrace-exitMargin))
}

// From returns the deadlines of a stop that began at a time.
func (s Stopper) From(began time.Time) Deadlines {
	grace := graceFor(s.Timeout)
	exit := began.Add(s.Timeout)
	cut := exit.Add(-scale(s.Reserve, grace))
	end := cut.Add(-scale(endMargin, grace))
	serve := began.Add(s.Serve)
	if serve.After(end) {
		serve = end
	}
	closing := exit.Add(-max(minCloseMargin, scale(closeMargin, grace)))
	return Deadlines{Began: began, Serve: serve, End: end, Cut: cut, Close: closing, Exit: exit}
}

// contextKey is the key of Deadlines in a context.
type contextKey struct{}

// NewContext returns a context that ends at Exit and carries the deadlines.
func NewContext(parent context.Context, d Deadlines) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithValue(parent, contextKey{}, d), d.Exit)
}

// FromContext returns the deadlines that a context carries. A context with none stands for a stop that begins now and has
// the time until its deadline, or as long as a process runs.
func FromContext(ctx context.Context) Deadlines {
	if d, ok := ctx.Value(contextKey{}).(Deadlines); ok {
		return d
	}
	now := time.Now()
	exit, ok := ctx.Deadline()
	if !ok {
		exit = now.Add(endless)
	}
	d := Stopper{Timeout: exit.Sub(now)}.From(now)
	d.Close = exit.Add(-closeMargin) // nothing is known of a grace period that shortens it
	return d
}

// endless is longer than any process runs.
const endless = 100 * 365 * 24 * time.Hour

// Package leaver bounds requests by the planned stop of the process that serves them.
package leaver

import (
	"context"
	"errors"
	"time"

	"chervilrail.example/core/stopper"
)

// Leaver is the planned stop of the process, as far as it concerns requests. Create it with New.
type Leaver struct {
	// begun ends when the process begins to leave, ended when its last request has to have an answer.
	begun, ended context.Context
	begin, end   context.CancelFunc
	deadlines    stopper.Deadlines
}

// New returns the leaver of a process that does not leave.
func New() *Leaver {
	l := &Leaver{}
	l.begun, l.begin = context.WithCancel(context.Background())
	l.ended, l.end = context.WithCancel(context.Background())
	return l
}

// Leave tells that the process leaves. It may be called once.
func (l *Leaver) Leave(deadlines stopper.Deadlines) {
	l.deadlines = deadlines
	l.begin()
	time.AfterFunc(time.Until(deadlines.End), l.end)
}

// Left returns how long it is until the last answers are due; zero if the process does not leave.
func (l *Leaver) Left() time.Duration {
	if l.begun.Err() == nil {
		return 0
	}
	return time.Until(l.deadlines.End)
}

// Ended reports whether the last answers are due.
func (l *Leaver) Ended() bool { return l.ended.Err() != nil }

// Age returns how long the process had been leaving at a time; zero if it was not.
func (l *Leaver) Age(at time.Time) time.Duration {
	if l.begun.Err() == nil {
		return 0
	}
	return max(0, at.Sub(l.deadlines.Began))
}

// Admits reports whether a request with a deadline, zero for none, may be sent to a target. Once the process leaves, only a
// request that can't outlast the stop may: one that is broken off may have run, and its caller may not be allowed to repeat
// it.
func (l *Leaver) Admits(deadline time.Time) bool {
	if l.begun.Err() == nil {
		return true
	}
	return !deadline.IsZero() && !deadline.After(l.deadlines.End)
}

// Admission returns a context that ends with parent, and once a request with a deadline may no longer be sent to a target.
func (l *Leaver) Admission(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return endWith(parent, l.begun, func() bool { return !l.Admits(deadline) })
}

// Attempt returns a context that ends with parent, and when the last answers are due.
func (l *Leaver) Attempt(parent context.Context) (context.Context, context.CancelFunc) {
	return endWith(parent, l.ended, func() bool { return true })
}

// endWith returns a context that ends with parent, and with the cause *LeavingError once other has ended, if that applies.
func endWith(parent, other context.Context, applies func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(other, func() {
		if applies() {
			cancel(&LeavingError{})
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// Ends reports whether a context has ended because the process leaves.
func Ends(ctx context.Context) bool {
	var leaving *LeavingError
	return errors.As(context.Cause(ctx), &leaving)
}

// LeavingError is the cause of contexts that end because the process leaves.
type LeavingError struct{}

// Error implements error.
func (*LeavingError) Error() string { return "the process leaves" }

package leaver_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/leaver"
	"chervilrail.example/core/stopper"
)

// soon is a short time, late a time after which a context that has not ended yet won't.
const (
	soon = 20 * time.Millisecond
	late = time.Second
)

// Guards against a request without a limit that a process takes while it leaves, and has to break off.
func TestOnlyRequestsThatEndInTimeAreAdmitted(t *testing.T) {
	is := is.New(t)
	d := leaver.New()
	end := time.Now().Add(late)
	is.True(d.Admits(time.Time{}))
	is.True(d.Admits(end.Add(time.Hour)))
	d.Leave(stopper.Deadlines{Began: time.Now(), End: end})
	is.True(!d.Admits(time.Time{}))
	is.True(!d.Admits(end.Add(1)))
	is.True(d.Admits(end))
}

// Guards against requests that wait on, though the stop of their process leaves no time for them.
func TestContextsEndWithTheStop(t *testing.T) {
	is := is.New(t)
	d := leaver.New()
	now := time.Now()
	short, cancelShort := d.Admission(t.Context(), now.Add(soon/2))
	defer cancelShort()
	long, cancelLong := d.Admission(t.Context(), now.Add(late))
	defer cancelLong()
	attempt, cancelAttempt := d.Attempt(t.Context())
	defer cancelAttempt()
	d.Leave(stopper.Deadlines{Began: now, End: now.Add(soon)})
	select {
	case <-long.Done():
	case <-time.After(late):
	}
	is.True(leaver.Ends(long))
	select {
	case <-attempt.Done():
	case <-time.After(late):
	}
	is.True(leaver.Ends(attempt))
	is.True(d.Ended())
	is.NoErr(short.Err())
}

package stopper

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// graces are grace periods from the shortest to the longest that settings may have.
var graces = []time.Duration{
	time.Second, 1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 4 * time.Second, 5999 * time.Millisecond,
	6 * time.Second, 10 * time.Second, time.Minute, time.Hour, 24 * time.Hour,
}

// Guards against a stop that breaks off targets before the last sixth of the grace, that has its deadlines out of order, or
// that lasts until the kill.
func TestDeadlinesFitTheGrace(t *testing.T) {
	for _, grace := range graces {
		for name, reserve := range map[string]time.Duration{"entry": 200 * time.Millisecond, "none": 0} {
			t.Run(name+" "+grace.String(), func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				d := Stopper{Timeout: TimeoutFor(grace), Serve: ServeFor(grace), Reserve: reserve}.From(began)
				moments := []time.Time{d.Began, d.Serve, d.End, d.Cut, d.Exit, began.Add(grace)}
				for i := 1; i < len(moments); i++ {
					is.True(!moments[i].Before(moments[i-1]))
				}
				is.True(d.Close.Before(d.Exit) && d.Exit.Before(began.Add(grace)))
				is.True(!d.End.Before(began.Add(grace * 5 / 6)))
				is.True(d.Serve.After(began))
				is.True(!d.Serve.After(began.Add(grace / 2)))
			})
		}
	}
}

// Guards against services that stop by other times than the process does.
func TestDeadlinesReachServices(t *testing.T) {
	is := is.New(t)
	d := Stopper{Timeout: time.Minute, Serve: time.Second, Reserve: time.Second}.From(time.Now())
	ctx, cancel := NewContext(context.Background(), d)
	defer cancel()
	is.Equal(FromContext(ctx), d)
	at, ok := ctx.Deadline()
	is.True(ok)
	is.Equal(at, d.Exit)
	is.True(FromContext(context.Background()).End.After(time.Now().Add(24 * time.Hour)))
}

// Guards against margins that belong to another grace period than the settings name.
func TestGraceFollowsFromItsTimeout(t *testing.T) {
	for _, grace := range graces {
		t.Run(grace.String(), func(t *testing.T) {
			is.New(t).Equal(graceFor(TimeoutFor(grace)).Round(time.Microsecond), grace)
		})
	}
}

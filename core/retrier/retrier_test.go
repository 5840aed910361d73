package retrier

import (
	"testing"

	"github.com/matryer/is"
)

func TestWhatMayBeTriedAgain(t *testing.T) {
	cases := []struct {
		name string
		a    Attempt
		want bool
	}{
		{"answered", Attempt{Ending: Answered, Idempotent: true, Replayable: true, Tries: 1}, false},
		{"certainly not run", Attempt{Ending: Unrun, Replayable: true, Tries: 1}, true},
		{"unknown and idempotent", Attempt{Ending: Unknown, Idempotent: true, Replayable: true, Tries: 1}, true},
		{"unknown and not idempotent", Attempt{Ending: Unknown, Replayable: true, Tries: 1}, false},
		{"suspect", Attempt{Ending: Unknown, Idempotent: true, Replayable: true, Suspect: true, Tries: 1}, false},
		{"body gone", Attempt{Ending: Unrun, Tries: 1}, false},
		{"too often", Attempt{Ending: Unrun, Replayable: true, Tries: MaxTries}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(New().AllowRetry(c.a), c.want)
		})
	}
}

// All targets fail for a while. Retries without a budget would multiply the load by the number of tries
// just when there is least room, and keep the outage going after its cause has ended.
func TestOutageDoesNotMultiplyLoad(t *testing.T) {
	is := is.New(t)
	b := New()
	retries := 0
	for range 10_000 {
		if b.AllowRetry(Attempt{Ending: Unrun, Replayable: true, Tries: 1}) {
			retries++
		}
	}
	is.Equal(retries, 10) // what a calm had saved up
	for range 1000 {
		b.RecordSuccess()
		if b.AllowRetry(Attempt{Ending: Unrun, Replayable: true, Tries: 1}) {
			retries++
		}
	}
	is.True(retries <= 110) // a tenth of the successes
}

package retrier

import (
	"testing"

	"github.com/matryer/is"
)

func TestAllowRetry(t *testing.T) {
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
		{"body not available", Attempt{Ending: Unrun, Tries: 1}, false},
		{"at the limit of attempts", Attempt{Ending: Unrun, Replayable: true, Tries: MaxTries}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(New().AllowRetry(c.a), c.want)
		})
	}
}

// All targets fail for some time. Retries without a budget would multiply the load by the number of attempts when there
// is least capacity, and prolong the outage after its cause has ended.
func TestOutageDoesNotMultiplyLoad(t *testing.T) {
	is := is.New(t)
	b := New()
	retries := 0
	for range 10_000 {
		if b.AllowRetry(Attempt{Ending: Unrun, Replayable: true, Tries: 1}) {
			retries++
		}
	}
	is.Equal(retries, 10) // the credit of a full budget
	for range 1000 {
		b.RecordSuccess()
		if b.AllowRetry(Attempt{Ending: Unrun, Replayable: true, Tries: 1}) {
			retries++
		}
	}
	is.True(retries <= 110) // the full budget and a tenth of the successes
}

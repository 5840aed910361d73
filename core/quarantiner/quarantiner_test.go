package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	poison   = Fingerprint{1}
	harmless = Fingerprint{2}
	start    = time.Unix(1000, 0)
)

func run(name string) Run { return Run{Target: name, Incarnation: 1} }

// One request crashes every target that runs it, and its caller keeps retrying. Without a quarantine every attempt
// crashes a target, until the pool is empty.
func TestPoisonIsRefusedAfterTwoLosses(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	is.True(!q.Suspect(start, poison))
	q.RecordLoss(start, poison, run("u1"))
	is.True(q.Suspect(start, poison)) // it is not retried
	is.True(q.RefusedUntil(start, poison).IsZero())
	q.RecordLoss(start, poison, run("u2"))
	is.Equal(q.RefusedUntil(start, poison), start.Add(RefusalPeriod))
	is.True(q.RefusedUntil(start.Add(RefusalPeriod), poison).IsZero()) // the refusal ends
}

// A frequent request is in flight whenever a target crashes. Quarantined, it would be refused to all callers although
// it never caused a crash.
func TestHarmlessRequestIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	for _, name := range []string{"u1", "u2", "u3", "u4"} {
		q.RecordSuccess(start, harmless)
		q.RecordLoss(start, harmless, run(name))
		q.RecordLoss(start, poison, run(name))
		is.True(!q.Suspect(start, harmless)) // it may be retried
		is.True(q.RefusedUntil(start, harmless).IsZero())
	}
	is.True(!q.RefusedUntil(start, poison).IsZero())
}

func TestRunCountsOnce(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	is.True(q.RecordLoss(start, poison, run("u1")))
	is.True(!q.RecordLoss(start, poison, run("u1"))) // reported again by another instance
	is.True(q.RefusedUntil(start, poison).IsZero())
}

func TestOldLossesDoNotCount(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	q.RecordLoss(start, poison, run("u1"))
	q.RecordLoss(start.Add(lossRetention), poison, run("u2"))
	is.True(q.RefusedUntil(start.Add(lossRetention), poison).IsZero())
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	for i := range maxTracked + 1000 {
		q.RecordLoss(start, Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)}, run("u1"))
	}
	is.True(len(q.suspicions) <= maxTracked)
	is.True(q.RecordLoss(start.Add(lossRetention), Fingerprint{9, 9, 9, 9}, run("u2"))) // expired entries were removed
}

package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	poison   = Fingerprint{1}
	innocent = Fingerprint{2}
	start    = time.Unix(1000, 0)
)

func run(name string) Run { return Run{Target: name, Incarnation: 1} }

// One request crashes every target that runs it, and its caller sends it again and again. Without a
// quarantine it takes out the whole pool, one target a try.
func TestPoisonIsConfirmedAfterTwoTargets(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	is.True(!q.Suspect(start, poison))
	q.RecordLoss(start, poison, run("u1"))
	is.True(q.Suspect(start, poison)) // no try elsewhere
	is.True(q.RefusedUntil(start, poison).IsZero())
	q.RecordLoss(start, poison, run("u2"))
	is.Equal(q.RefusedUntil(start, poison), start.Add(RefusalPeriod))
	is.True(q.RefusedUntil(start.Add(RefusalPeriod), poison).IsZero()) // and it ends
}

// A busy page is in flight whenever a target dies. Quarantined, it would be refused to everyone although
// it never harmed anything.
func TestBystanderIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	for _, name := range []string{"u1", "u2", "u3", "u4"} {
		q.RecordSuccess(start, innocent)
		q.RecordLoss(start, innocent, run(name))
		q.RecordLoss(start, poison, run(name))
		is.True(!q.Suspect(start, innocent)) // may be tried elsewhere
		is.True(q.RefusedUntil(start, innocent).IsZero())
	}
	is.True(!q.RefusedUntil(start, poison).IsZero())
}

func TestOneRunCountsOnce(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	is.True(q.RecordLoss(start, poison, run("u1")))
	is.True(!q.RecordLoss(start, poison, run("u1"))) // told again by another instance
	is.True(q.RefusedUntil(start, poison).IsZero())
}

func TestOldLossesDoNotCount(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	q.RecordLoss(start, poison, run("u1"))
	q.RecordLoss(start.Add(memory), poison, run("u2"))
	is.True(q.RefusedUntil(start.Add(memory), poison).IsZero())
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	for i := range maxTracked + 1000 {
		q.RecordLoss(start, Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)}, run("u1"))
	}
	is.True(len(q.cases) <= maxTracked)
	is.True(q.RecordLoss(start.Add(memory), Fingerprint{9, 9, 9, 9}, run("u2"))) // old ones make room
}

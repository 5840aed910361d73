package soaker

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/platform/speaker"
)

const testInstance = "127.0.0.1:8000"

var errReset = errors.New("reset")

// soakOf returns a run in which one request of a pipeline ended after a time, and was passed on if passed is set.
func soakOf(t *testing.T, e *speaker.Exchange, after time.Duration) *Soak {
	t.Helper()
	s := &Soak{Folder: t.TempDir()}
	e.ID, e.Instance, e.EndedAt = "a-1", testInstance, time.Now()
	e.SentAt = e.EndedAt.Add(-after)
	s.sessions.exchanges = []*speaker.Exchange{e}
	return s
}

// passedOn are the places where the request of soakOf was passed on to.
func passedOn(e *speaker.Exchange) map[string][]passage {
	return map[string][]passage{e.ID: {{target: "t1", at: e.SentAt, run: true}}}
}

func checkViolations(t *testing.T, s *Soak, passages map[string][]passage, expected int) {
	t.Helper()
	s.checkExchanges(passages)
	is.New(t).Equal(len(s.checker.violations), expected)
}

// Guards against a check that sees no loss: an answer that is cut, a request that is passed on and gets none, one that is
// read and gets none, and a run that the instance answers in its target's place.
func TestLossesAreSeen(t *testing.T) {
	for name, e := range map[string]*speaker.Exchange{
		"cut":      {Answer: speaker.Answer{Status: http.StatusOK, Err: errReset}},
		"behind":   {Answer: speaker.Answer{Err: errReset}, Behind: true},
		"answered": {Answer: speaker.Answer{Status: http.StatusBadGateway}},
		"unread":   {Answer: speaker.Answer{Err: errReset}, Unread: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := soakOf(t, e, time.Second)
			s.stops.record(testInstance)
			e.EndedAt = time.Now()
			checkViolations(t, s, passedOn(e), 1)
		})
	}
	t.Run("dropped by a stop", func(t *testing.T) {
		e := &speaker.Exchange{Answer: speaker.Answer{Err: errReset}, Unread: true}
		s := soakOf(t, e, 2*arrivalTime)
		s.stops.record(testInstance)
		e.EndedAt = time.Now()
		checkViolations(t, s, nil, 1)
	})
	t.Run("not passed on", func(t *testing.T) {
		s := soakOf(t, &speaker.Exchange{Answer: speaker.Answer{Err: errReset}}, 2*lossSlack)
		s.stops.record(testInstance)
		s.sessions.exchanges[0].EndedAt = time.Now()
		checkViolations(t, s, nil, 1)
	})
}

// Guards against a check that blames an instance for what it may do: losses after an unplanned fault, at a target that
// breaks off, for a caller that leaves, and of requests that were not passed on.
func TestExcusedLossesAreNoViolations(t *testing.T) {
	cut := func() *speaker.Exchange { return &speaker.Exchange{Answer: speaker.Answer{Err: errReset}} }
	run := func(name string, e *speaker.Exchange, after time.Duration, passed bool, prepare func(s *Soak)) {
		t.Run(name, func(t *testing.T) {
			s := soakOf(t, e, after)
			s.stops.record(testInstance)
			prepare(s)
			e.EndedAt = time.Now()
			var passages map[string][]passage
			if passed {
				passages = passedOn(e)
			}
			checkViolations(t, s, passages, 0)
		})
	}
	nothing := func(*Soak) {}
	run("unplanned", cut(), time.Second, true, func(s *Soak) { s.unplanned.record(testInstance) })
	run("link", cut(), time.Second, true, func(s *Soak) { s.linkFaults.record("t1") })
	run("target", cut(), time.Second, true, func(s *Soak) { s.targetKills.record("t1") })
	run("too old", cut(), speaker.LongTimeout, true, nothing)
	left, behind := cut(), cut()
	left.Left, behind.Behind = true, true
	run("left", left, time.Second, true, nothing)
	run("behind", behind, time.Second, false, nothing)
	run("crossing", cut(), lossSlack/2, false, nothing)
	t.Run("sent after the stop began", func(t *testing.T) {
		unread := cut()
		unread.Unread = true
		s := &Soak{Folder: t.TempDir()}
		s.stops.record(testInstance)
		unread.ID, unread.Instance, unread.SentAt, unread.EndedAt = "a-1", testInstance, time.Now(), time.Now()
		s.sessions.exchanges = []*speaker.Exchange{unread}
		checkViolations(t, s, nil, 0)
	})
}

package soaker

import (
	"cmp"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/platform/speaker"
)

// testGrace is the grace period of the tests' instance; its stop began testGrace ago.
const testGrace = 12 * time.Second

// attemptCase is a request to an instance that leaves. Times are counted from its SIGTERM.
type attemptCase struct {
	sent, ended, runEnds time.Duration
	status               int
	signature            string
	notRun, notSent      bool
	// limit is the limit of the request's route, deadline its caller's; zero stands for one that is not reached.
	limit, deadline time.Duration
	prepare         func(s *Soak)
}

// check returns the violations that checkAttempts finds.
func (c attemptCase) check(t *testing.T) []string {
	t.Helper()
	const endless = time.Hour
	s := &Soak{Folder: t.TempDir(), workload: workload{grace: testGrace}}
	for range workRoutes {
		s.workload.limits = append(s.workload.limits, cmp.Or(c.limit, endless))
	}
	stoppedAt := time.Now().Add(-testGrace)
	s.stops.add(testInstance, stoppedAt, stoppedAt)
	s.stopping.add(testInstance, stoppedAt, stoppedAt.Add(testGrace))
	if c.prepare != nil {
		c.prepare(s)
	}
	a := &speaker.Attempt{
		Upload:  speaker.Upload{Path: "/work1/7", Deadline: cmp.Or(c.deadline, endless)},
		EndedAt: stoppedAt.Add(c.ended),
	}
	a.ID, a.Instance, a.SentAt, a.Status, a.Signature = "a-1", testInstance, stoppedAt.Add(c.sent), c.status, c.signature
	a.LastByteAt, a.Sent = a.SentAt, !c.notSent
	if c.status == 0 {
		a.Err = errReset
	}
	s.attempts.add([]*speaker.Attempt{a})
	runs := map[string][]workRun{}
	if !c.notRun {
		runs[a.ID] = []workRun{{"t1", a.SentAt, stoppedAt.Add(c.runEnds)}}
	}
	s.checkAttempts(runs, map[string][]planEvent{testInstance: {{at: stoppedAt.Add(-endless), version: 1}}})
	return s.checker.violations
}

// Guards against a check that sees no request that a stop breaks off: by a close or by an answer of the instance's own, sent
// before the stop, early or late in it, at the end of the stop and before; and none that waits for its refusal.
func TestBrokenOffRequestsAreSeen(t *testing.T) {
	for name, c := range map[string]attemptCase{
		"sent late, closed":            {sent: 4 * time.Second, ended: 11 * time.Second, runEnds: 12 * time.Second},
		"sent late, answered":          {sent: 4 * time.Second, ended: 11 * time.Second, runEnds: 12 * time.Second, status: http.StatusGatewayTimeout},
		"sent early, closed too early": {sent: time.Second, ended: 5 * time.Second, runEnds: 11 * time.Second},
		"sent early, run had ended":    {sent: time.Second, ended: 11 * time.Second, runEnds: 9 * time.Second},
		"sent before":                  {sent: -time.Second, ended: 2 * time.Second, runEnds: 3 * time.Second, status: http.StatusBadGateway},
		"before its limit":             {sent: 0, ended: 4 * time.Second, runEnds: 5 * time.Second, limit: 5 * time.Second},
		"before its deadline":          {sent: 0, ended: 4 * time.Second, runEnds: 5 * time.Second, deadline: 5 * time.Second},
		"read, not run, closed":        {sent: time.Second, ended: 2 * time.Second, notRun: true},
		"refused late":                 {sent: time.Second, ended: 2 * time.Second, status: http.StatusServiceUnavailable, notRun: true},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(len(c.check(t)), 1) })
	}
}

// Guards against a check that blames an instance for what it may do.
func TestExcusedAttemptsAreNoViolations(t *testing.T) {
	whole := attemptCase{sent: 4 * time.Second, ended: 6 * time.Second, runEnds: 6 * time.Second, status: http.StatusOK}
	targetFailed := whole
	targetFailed.status, targetFailed.signature = http.StatusInternalServerError, "t1.a-1"
	broken := func(change func(c *attemptCase)) attemptCase {
		c := attemptCase{sent: time.Second, ended: 5 * time.Second, runEnds: 11 * time.Second}
		change(&c)
		return c
	}
	now := func(d *disturbances, name string) {
		d.add(name, time.Now().Add(-testGrace), time.Now())
	}
	for name, c := range map[string]attemptCase{
		"whole":            whole,
		"target's failure": targetFailed,
		"not read":         broken(func(c *attemptCase) { c.notRun, c.notSent = true, true }),
		"crossing a close": broken(func(c *attemptCase) { c.notRun, c.ended = true, c.sent+lossSlack/2 }),
		"limit":            broken(func(c *attemptCase) { c.limit = 4 * time.Second }),
		"deadline":         broken(func(c *attemptCase) { c.deadline = 4 * time.Second }),
		"at work late":     broken(func(c *attemptCase) { c.ended = 10500 * time.Millisecond }),
		"instance killed": broken(func(c *attemptCase) {
			c.prepare = func(s *Soak) { now(&s.unplanned, testInstance) }
		}),
		"target killed": broken(func(c *attemptCase) { c.prepare = func(s *Soak) { now(&s.targetKills, "t1") } }),
		"link fault":    broken(func(c *attemptCase) { c.prepare = func(s *Soak) { now(&s.linkFaults, "t1") } }),
		"refused at once": {
			sent: time.Second, ended: 1400 * time.Millisecond, status: http.StatusServiceUnavailable, notRun: true,
		},
		"refused by a stalled machine": {
			sent: time.Second, ended: 2 * time.Second, status: http.StatusServiceUnavailable, notRun: true,
			prepare: func(s *Soak) { now(&s.stalls, machine) },
		},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(len(c.check(t)), 0) })
	}
}

// Guards against a check that goes by a limit that was not in force: the shortest one counts that was in force when the
// request arrived.
func TestOnlyLimitsInForceCount(t *testing.T) {
	is := is.New(t)
	s := &Soak{workload: drawWorkload(7, testGrace)}
	sentAt := time.Now()
	plans := []planEvent{
		{at: sentAt.Add(-time.Minute), version: 1},
		{at: sentAt.Add(-time.Second), version: 2 * limitVersions},
		{at: sentAt.Add(arrivalTime / 2), version: 3 * limitVersions},
		{at: sentAt.Add(2 * arrivalTime), version: 4 * limitVersions},
	}
	shortest := min(s.workload.limit(0, plans[1].version), s.workload.limit(0, plans[2].version))
	a := &speaker.Attempt{Upload: speaker.Upload{Path: "/work0/1", Deadline: time.Hour}}
	a.SentAt = sentAt
	a.EndedAt = sentAt.Add(shortest - 2*limitSlack)
	is.True(!s.overdueAttempt(a, plans))
	a.EndedAt = sentAt.Add(shortest)
	is.True(s.overdueAttempt(a, plans))
}

// Guards against a check that leaves out the last limit in force at a process, as the log goes on with the next process.
func TestLimitsOfAProcessThatEndedCount(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "e1.log")
	is.NoErr(os.WriteFile(path, []byte(`ts=2026-01-02T03:04:05Z program=entry msg=starting grace=6s
ts=2026-01-02T03:04:06Z program=entry msg="plan in force" version=30 revision=1
ts=2026-01-02T03:04:16Z program=entry msg=starting grace=6s
`), fileMode))
	plans, err := readPlans(path)
	is.NoErr(err)
	is.Equal(len(plans), 3)
	s := &Soak{workload: drawWorkload(7, testGrace)}
	a := &speaker.Attempt{Upload: speaker.Upload{Path: "/work0/1", Deadline: time.Hour}}
	a.SentAt = time.Date(2026, 1, 2, 3, 4, 7, 0, time.UTC)
	a.EndedAt = a.SentAt.Add(s.workload.limit(0, plans[1].version))
	is.True(s.overdueAttempt(a, plans))
}

// Guards against an answer that says not run, of a request that ran.
func TestRefusedAttemptsMustNotHaveRun(t *testing.T) {
	is := is.New(t)
	a := &speaker.Attempt{Upload: speaker.Upload{Path: "/work0/1"}}
	a.ID, a.Status = "a-1", http.StatusServiceUnavailable
	w := &checker{}
	w.checkAttempt(a)
	is.Equal(w.notRun, map[string]int{"a-1": http.StatusServiceUnavailable})
	is.True(w.nonRepeatable["a-1"])
}

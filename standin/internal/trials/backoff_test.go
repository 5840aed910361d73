package trials

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/platform/speaker"
	"chervilrail.example/standin/internal/verifier"
)

// observe collects what the callers and targets of a fleet observed.
func (f *fleet) observe(answers []speaker.Answer) *verifier.Observations {
	out := &verifier.Observations{}
	for _, a := range answers {
		out.AddAnswer(a)
	}
	for _, target := range f.targets {
		out.AddTarget(target)
	}
	return out
}

// fail reports each line of a check as an error.
func fail(t *testing.T, lines []string) {
	t.Helper()
	for _, line := range lines {
		t.Error(line)
	}
}

// countRefused returns the number of requests that were answered as not run.
func countRefused(answers []speaker.Answer) int {
	n := 0
	for _, a := range answers {
		if a.Status == http.StatusServiceUnavailable {
			n++
		}
	}
	return n
}

// aim is the time within which the plan of the stand-in operator wants answers.
const aim = 500 * time.Millisecond

// countLate returns the number of answers that came later than aim.
func countLate(answers []speaker.Answer) int {
	n := 0
	for _, a := range answers {
		if a.Status != 0 && a.AnsweredAt.Sub(a.SentAt) > aim {
			n++
		}
	}
	return n
}

// Guards against a target that asks an entry instance for no requests for a while and goes on getting them, and against
// callers that are refused meanwhile although the other targets have room.
func TestTargetThatAsksForNoRequestsGetsNone(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 5, 5)
	f.objects = 60
	stop := f.load(12)
	time.Sleep(time.Second)
	f.targets[0].Reject("3")
	time.Sleep(9 * time.Second)
	f.targets[0].Accept()
	accepted := time.Now()
	time.Sleep(6 * time.Second)
	answers := stop()
	t.Logf("%d of %d requests refused, %d late", countRefused(answers), len(answers), countLate(answers))
	fail(t, f.observe(answers).Backoffs())
	f.check(t, answers)
	is.True(f.targets[0].LastRequest().After(accepted.Add(4 * time.Second))) // it gets requests again
}

// Guards against a target whose answers say that it leaves and that goes on getting requests, because it announces
// nothing.
func TestTargetThatLeavesByItsAnswersGetsNoRequests(t *testing.T) {
	f := startFleet(t, 3, 5, 5)
	f.objects = 60
	stop := f.load(12)
	time.Sleep(time.Second)
	f.targets[0].SetLeaving(true)
	time.Sleep(6 * time.Second)
	answers := stop()
	fail(t, f.observe(answers).Leaves())
	f.check(t, answers)
}

// refusalSlack is how much later than aim a refusal may come: a request waits while it could be answered by then, and is
// refused at the next tick of its instance.
const refusalSlack = 100 * time.Millisecond

// Guards against callers that wait longer than they can be answered on time while all targets want no requests, or that
// are not served again when the targets take some: in series, while an entry instance is restarted.
func TestAllTargetsAskForNoRequestsInSeries(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 3, 4)
	f.objects = 30
	stop := f.load(6)
	time.Sleep(time.Second)
	for round := range 3 {
		for _, target := range f.targets {
			target.Reject("1")
		}
		time.Sleep(500 * time.Millisecond)
		for _, target := range f.targets {
			target.Accept()
		}
		if round == 1 {
			f.Entries[0].Kill()
			is.NoErr(f.StartPlatformEntry(0))
		}
		time.Sleep(2 * time.Second)
	}
	answers := stop()
	seen := f.observe(answers)
	restarted := f.CallerURL(0)
	seen.Excused = func(instance string, _, _ time.Time) bool { return "http://"+instance == restarted }
	fail(t, seen.Backoffs())
	f.checkOnce(t)
	complete, slow := 0, 0
	for _, a := range answers {
		if a.Complete {
			complete++
		}
		if a.Status == http.StatusServiceUnavailable && a.AnsweredAt.Sub(a.SentAt) > aim+refusalSlack {
			slow++
		}
	}
	t.Logf("%d of %d requests served, %d refused, %d of those late", complete, len(answers), countRefused(answers), slow)
	is.Equal(slow, 0)
	is.True(complete > 500)
	last := answers[len(answers)-20:]
	is.Equal(countRefused(last), 0) // served again at the end
}

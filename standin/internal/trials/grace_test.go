package trials

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/platform/speaker"
	"chervilrail.example/standin/internal/starter"
)

const (
	// persistentCallers is the number of callers that keep sending to an instance that leaves.
	persistentCallers = 40
	// payment is the size of their requests in bytes.
	payment = 1200
	// limitSlack is how long before its limit a request counts as having reached it.
	limitSlack = 50 * time.Millisecond
)

// graceCase is a planned stop under callers whose requests take long. The other times are parts of the grace period.
type graceCase struct {
	name  string
	grace time.Duration
	// work is how long the longest requests take, limit the time limit of their route.
	work, limit float64
}

// workOf returns how long the requests of a caller take: half of them take far less than the others, so that an instance
// that goes by what it has seen expects little.
func (g graceCase) workOf(caller int) time.Duration {
	work := g.work * (0.8 + 0.2*float64(caller)/persistentCallers)
	if caller%2 != 0 {
		work /= 8
	}
	return share(g.grace, work)
}

// share returns a part of a duration.
func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// startWorkers starts a fleet of one entry instance with a grace period and a time limit.
func startWorkers(t *testing.T, g graceCase) *fleet {
	t.Helper()
	f := &fleet{PlatformSystem: &starter.PlatformSystem{System: prepare(t), Grace: g.grace}, objects: 7}
	f.start(t, 3, 1, persistentCallers, func(*speaker.Target) {})
	limit := fmt.Sprintf(`"timeoutS":%g,`, share(g.grace, g.limit).Seconds())
	is.New(t).Equal(f.operator.Put(t.Context(), strings.ReplaceAll(speaker.Plan(2, 1, service), `"timeoutS":2,`, limit)), http.StatusOK)
	time.Sleep(changeBound)
	return f
}

// Guards against a planned stop that breaks off requests at which targets are at work, among them some that it took after
// SIGTERM: their callers may not repeat them, and any other instance would have served them.
func TestStopBreaksOffNoRequestThatItTook(t *testing.T) {
	for _, g := range []graceCase{
		{"limit shorter than half of the grace", 10 * time.Second, 0.38, 0.4},
		{"limit almost as long as the grace", 10 * time.Second, 0.68, 0.8},
		{"limit longer than the grace", 6 * time.Second, 0.7, 1.5},
		{"short grace", 2 * time.Second, 0.7, 0.8},
	} {
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			f := startWorkers(t, g)
			attempts, stoppedAt := f.stopUnderPersistentCallers(t, g)
			f.checkBrokenOff(t, attempts, stoppedAt, share(g.grace, g.limit))
		})
	}
}

// stopUnderPersistentCallers stops the only entry instance while callers send. It returns the time of the stop.
func (f *fleet) stopUnderPersistentCallers(t *testing.T, g graceCase) ([]*speaker.Attempt, time.Time) {
	t.Helper()
	results := make([][]*speaker.Attempt, persistentCallers)
	var group sync.WaitGroup
	address := net.JoinHostPort(f.Entries[0].Address.String(), strconv.Itoa(starter.CallerPort))
	for i := range persistentCallers {
		c := &speaker.Persistent{Name: fmt.Sprintf("p%d", i), Instance: address, Next: func(int) speaker.Upload {
			path := fmt.Sprintf("/once/%d?work=%v", i, g.workOf(i))
			return speaker.Upload{Path: path, Deadline: 2 * g.grace, Size: payment}
		}}
		group.Go(func() {
			time.Sleep(share(g.grace, g.work) * time.Duration(i) / persistentCallers) // so that some begin at any time
			results[i] = c.Run(t.Context())
		})
	}
	time.Sleep(share(g.grace, 1.5*g.work))
	stoppedAt := time.Now()
	f.Entries[0].Terminate()
	is.New(t).NoErr(f.Entries[0].Wait(g.grace))
	t.Logf("the process ended %v after SIGTERM", time.Since(stoppedAt))
	group.Wait()
	return slices.Concat(results...), stoppedAt
}

// checkBrokenOff fails if a request ran and has no whole answer of its target, though neither its limit nor its deadline was
// reached.
func (f *fleet) checkBrokenOff(t *testing.T, attempts []*speaker.Attempt, stoppedAt time.Time, limit time.Duration) {
	t.Helper()
	runs := map[string]int{}
	for _, target := range f.targets {
		maps.Copy(runs, target.Runs())
	}
	served, late, refused, broken := 0, 0, 0, 0
	for _, a := range attempts {
		switch {
		case a.Status == http.StatusOK && a.Err == nil:
			served++
			if a.SentAt.After(stoppedAt) {
				late++
			}
		case runs[a.ID] == 0:
			refused++
		case a.Took() < limit-limitSlack:
			broken++
			t.Logf("%s sent %v after SIGTERM, ended %v after it: status %d, %v", a.ID, a.SentAt.Sub(stoppedAt),
				a.EndedAt.Sub(stoppedAt), a.Status, describeEnd(a.Err))
		}
	}
	t.Logf("%d served, %d of them sent after SIGTERM; %d did not run", served, late, refused)
	is.New(t).Equal(broken, 0)
}

// describeEnd tells how a connection ended.
func describeEnd(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	}
	return "closed: " + err.Error()
}

package trials

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/pipeliner"
	"chervilrail.example/platform/speaker"
	"chervilrail.example/platform/translator"
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

// attempt is a request of a persistentCaller and what its caller saw of it.
type attempt struct {
	id     string
	sentAt time.Time
	took   time.Duration
	// status is zero if there was no whole answer.
	status int
	err    error
}

// persistentCaller sends one request after the other to one instance, over kept connections as long as they are open, until
// the process is gone.
type persistentCaller struct {
	name     string
	path     string
	address  string
	deadline time.Duration
	conn     *pipeliner.Conn
	attempts []attempt
}

// run sends requests until no connection is accepted any more.
func (c *persistentCaller) run(t *testing.T) {
	for {
		if c.conn == nil {
			conn, err := (&pipeliner.Pipeliner{}).Dial(t.Context(), c.address)
			if err != nil {
				return
			}
			c.conn = conn
		}
		if c.send().status != http.StatusOK {
			time.Sleep(arrivalTime)
		}
	}
}

// send sends a request and receives its answer.
func (c *persistentCaller) send() attempt {
	a := attempt{id: c.name + "-" + strconv.Itoa(len(c.attempts)), sentAt: time.Now()}
	_ = c.conn.SetDeadline(a.sentAt.Add(c.deadline))
	a.err = c.conn.Post(c.path, fmt.Sprintf("%s: %s\r\n%s: %d\r\n", translator.HeaderAttemptID, a.id,
		translator.HeaderDeadline, c.deadline.Milliseconds()), payment, make([]byte, payment))
	var answer *pipeliner.Answer
	if a.err == nil {
		answer, a.err = c.conn.Receive()
	}
	if a.err == nil {
		a.status = answer.Status
	}
	a.took = time.Since(a.sentAt)
	if a.err != nil || answer.Last {
		_ = c.conn.Close()
		c.conn = nil
	}
	c.attempts = append(c.attempts, a)
	return a
}

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
			callers, stoppedAt := f.stopUnderPersistentCallers(t, g)
			f.checkBrokenOff(t, callers, stoppedAt, share(g.grace, g.limit))
		})
	}
}

// stopUnderPersistentCallers stops the only entry instance while callers send. It returns the time of the stop.
func (f *fleet) stopUnderPersistentCallers(t *testing.T, g graceCase) ([]*persistentCaller, time.Time) {
	t.Helper()
	var callers []*persistentCaller
	var group sync.WaitGroup
	address := net.JoinHostPort(f.Entries[0].Address.String(), strconv.Itoa(starter.CallerPort))
	for i := range persistentCallers {
		c := &persistentCaller{
			name: fmt.Sprintf("p%d", i), path: fmt.Sprintf("/once/%d?work=%v", i, g.workOf(i)), address: address,
			deadline: 2 * g.grace,
		}
		callers = append(callers, c)
		group.Go(func() {
			time.Sleep(share(g.grace, g.work) * time.Duration(i) / persistentCallers) // so that some begin at any time
			c.run(t)
		})
	}
	time.Sleep(share(g.grace, 1.5*g.work))
	stoppedAt := time.Now()
	f.Entries[0].Terminate()
	is.New(t).NoErr(f.Entries[0].Wait(g.grace))
	t.Logf("the process ended %v after SIGTERM", time.Since(stoppedAt))
	group.Wait()
	return callers, stoppedAt
}

// checkBrokenOff fails if a request ran and has no whole answer of its target, though neither its limit nor its deadline was
// reached.
func (f *fleet) checkBrokenOff(t *testing.T, callers []*persistentCaller, stoppedAt time.Time, limit time.Duration) {
	t.Helper()
	runs := map[string]int{}
	for _, target := range f.targets {
		maps.Copy(runs, target.Runs())
	}
	served, late, refused, broken := 0, 0, 0, 0
	for _, c := range callers {
		for _, a := range c.attempts {
			switch {
			case a.status == http.StatusOK:
				served++
				if a.sentAt.After(stoppedAt) {
					late++
				}
			case runs[a.id] == 0:
				refused++
			case a.took < limit-limitSlack:
				broken++
				t.Logf("%s sent %v after SIGTERM, ended %v after it: status %d, %v", a.id, a.sentAt.Sub(stoppedAt),
					a.sentAt.Add(a.took).Sub(stoppedAt), a.status, describeEnd(a.err))
			}
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

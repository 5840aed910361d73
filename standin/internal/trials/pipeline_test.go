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

	"chervilrail.example/core/pipeliner"
	"chervilrail.example/platform/speaker"
	"chervilrail.example/standin/internal/starter"
)

const (
	// slowBuffer is the receive buffer of a slow reader in bytes, slowPause its pause before the body of an answer.
	slowBuffer = 2 << 10
	slowPause  = 20 * time.Millisecond
	// largeAnswer is the size of an answer in bytes, largeWork the time that a target works on it.
	largeAnswer = 30 << 10
	largeWork   = 60 * time.Millisecond
	// arrivalTime is longer than a request takes to its instance.
	arrivalTime = 100 * time.Millisecond
	// stopAfter is how long callers are served before the instance is stopped.
	stopAfter = time.Second
	// receiveTimeout is how long a caller waits for the next answer.
	receiveTimeout = 5 * time.Second
)

// slowCaller is a caller that keeps some requests on its connection unanswered and reads slowly.
type slowCaller struct {
	name    string
	depth   int
	address string

	// sent are the ids of all requests in their order, whole is how many of them were answered completely, from the first
	// on. Begun is set if a part of the next answer was received, last if the last whole answer ended the connection.
	sent  []string
	whole int
	// sentAt are the times at which they were sent.
	sentAt []time.Time
	begun  bool
	last   bool
	err    error
}

// run sends requests until the instance ends the connection.
func (c *slowCaller) run(t *testing.T) {
	conn, err := (&pipeliner.Pipeliner{ReceiveBuffer: slowBuffer, Pause: slowPause}).Dial(t.Context(), c.address)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	for !c.last {
		for len(c.sent)-c.whole < c.depth {
			c.send(conn)
		}
		_ = conn.SetReadDeadline(time.Now().Add(receiveTimeout))
		answer, err := conn.Receive()
		if err != nil {
			c.begun, c.err = answer != nil, err
			return
		}
		c.whole++
		c.last = answer.Last
	}
}

// send sends one more request. If the instance has closed the connection, that shows in the next answer.
func (c *slowCaller) send(conn *pipeliner.Conn) {
	id := c.name + "-" + strconv.Itoa(len(c.sent))
	c.sent, c.sentAt = append(c.sent, id), append(c.sentAt, time.Now())
	_ = conn.Get(fmt.Sprintf("/safe/%s?n=1", c.name), fmt.Sprintf(
		"X-Chervilrail-Attempt-Id: %s\r\nX-Chervilrail-Deadline-Ms: 2000\r\nX-Chervilrail-Affinity-Key: %s\r\n", id, c.name))
}

// unanswered returns how many requests were sent before a time and not answered.
func (c *slowCaller) unanswered(before time.Time) int {
	count := 0
	for _, at := range c.sentAt[c.whole:] {
		if at.Before(before) {
			count++
		}
	}
	return count
}

// stopUnderSlowCallers serves slow callers and stops the only entry instance meanwhile. It returns the time of the stop.
func (f *fleet) stopUnderSlowCallers(t *testing.T, depth int) ([]*slowCaller, time.Time) {
	t.Helper()
	var callers []*slowCaller
	var group sync.WaitGroup
	address := net.JoinHostPort(f.Entries[0].Address.String(), strconv.Itoa(starter.CallerPort))
	for i := range 30 {
		c := &slowCaller{name: fmt.Sprintf("slow%d-%d", depth, i), depth: depth, address: address}
		callers = append(callers, c)
		group.Go(func() { c.run(t) })
	}
	time.Sleep(stopAfter)
	stoppedAt := time.Now()
	is.New(t).NoErr(f.Entries[0].Stop(timeout))
	group.Wait()
	return callers, stoppedAt
}

// checkWhole fails if a request ran whose answer its caller did not receive completely.
func (f *fleet) checkWhole(t *testing.T, callers []*slowCaller) {
	t.Helper()
	runs := map[string]int{}
	for _, target := range f.targets {
		maps.Copy(runs, target.Runs())
	}
	whole, cut, lost, behind, resets := 0, 0, 0, 0, 0
	for _, c := range callers {
		whole += c.whole
		if errors.Is(c.err, syscall.ECONNRESET) {
			resets++
		}
		for i, id := range c.sent[c.whole:] {
			switch {
			case i == 0 && c.begun:
				cut++
			case runs[id] > 0 && c.last:
				behind++
			case runs[id] > 0:
				lost++
			}
		}
	}
	t.Logf("%d whole answers, %d of %d connections ended by a reset", whole, resets, len(callers))
	if cut+lost+behind > 0 {
		t.Errorf("%d answers were cut midway, %d requests ran and have no answer, %d ran behind the last answer",
			cut, lost, behind)
	}
	is.New(t).True(whole > len(callers))
}

// Guards against answers that a planned stop discards: the instance closes a connection on which further requests have
// arrived, and the caller sees a reset in place of answers that were written before, or no answer to requests sent before.
func TestStopDeliversAnswersToSlowCallers(t *testing.T) {
	for name, depth := range map[string]int{"pipelining": 3, "one request at a time": 1} {
		t.Run(name, func(t *testing.T) {
			f := startFleetWith(t, 3, 1, 6, func(o *speaker.Target) { o.Work, o.Padding = largeWork, largeAnswer })
			callers, stoppedAt := f.stopUnderSlowCallers(t, depth)
			f.checkWhole(t, callers)
			for _, c := range callers {
				is.New(t).Equal(c.unanswered(stoppedAt.Add(-arrivalTime)), 0)
			}
		})
	}
}

// Guards against a reload, or a plan with another idle time, that closes connections which callers use.
func TestReloadsAndPlansCloseNoConnection(t *testing.T) {
	is := is.New(t)
	f := startFleetWith(t, 3, 1, 2, func(o *speaker.Target) { o.Padding = largeAnswer })
	address := net.JoinHostPort(f.Entries[0].Address.String(), strconv.Itoa(starter.CallerPort))
	conn, err := (&pipeliner.Pipeliner{ReceiveBuffer: slowBuffer, Pause: slowPause}).Dial(t.Context(), address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	c := &slowCaller{name: "kept", depth: 3}
	is.NoErr(syscall.Kill(f.Entries[0].PID(), syscall.SIGHUP))
	plan := strings.Replace(speaker.Plan(2, 1, service), `"idleTimeoutS":15`, `"idleTimeoutS":1`, 1)
	is.Equal(f.operator.Put(t.Context(), plan), http.StatusOK)
	for end := time.Now().Add(changeBound); time.Now().Before(end); {
		c.exchange(t, conn)
	}
	is.True(slices.Contains(f.plansAfter(t, 0, 0), 2))
	time.Sleep(2 * time.Second) // longer than the plan's idle time
	c.exchange(t, conn)
}

// exchange sends requests ahead and receives all their answers.
func (c *slowCaller) exchange(t *testing.T, conn *pipeliner.Conn) {
	t.Helper()
	is := is.New(t)
	for range c.depth {
		c.send(conn)
	}
	for range c.depth {
		is.NoErr(conn.SetReadDeadline(time.Now().Add(receiveTimeout)))
		answer, err := conn.Receive()
		is.NoErr(err)
		is.Equal(answer.Status, http.StatusOK)
		is.True(!answer.Last)
	}
}

package carrier

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/placer"
	"chervilrail.example/core/stopper"
)

const (
	// routeLimit is the time limit of the routes in testPlan.
	routeLimit = 300 * time.Millisecond
	// promptly is longer than a refusal takes, and well below routeLimit.
	promptly = routeLimit / 3
)

// stopIn returns the deadlines of a stop that begins now and whose last answers are due after a time. Connections are cut
// half of that time later.
func stopIn(end time.Duration) stopper.Deadlines {
	now := time.Now()
	return stopper.Deadlines{Began: now, Serve: now, End: now.Add(end), Cut: now.Add(end * 3 / 2), Exit: now.Add(2 * end)}
}

// checkRefused fails unless a request was refused as not run, to be sent again elsewhere.
func checkRefused(t *testing.T, status int, header http.Header) {
	t.Helper()
	is.New(t).Equal(status, http.StatusServiceUnavailable)
	is.New(t).True(header.Get("Retry-After") != "")
}

// Guards against a planned stop that takes a request which it may have to break off at its target: the request may have run,
// so its caller may not repeat it, though any other instance would have served it.
func TestLeavingInstanceTakesOnlyWhatEndsInTime(t *testing.T) {
	t.Run("limit after the end", func(t *testing.T) {
		c, s := startCarrier(t, signedAnswer(http.StatusOK))
		c.Leave(stopIn(routeLimit - time.Millisecond))
		w := sendRequest(c, http.MethodPost, "/once/1")
		checkRefused(t, w.Code, w.Header())
		is.New(t).Equal(len(s.sent), 0)
	})
	t.Run("limit before the end", func(t *testing.T) {
		c, _ := startCarrier(t, signedAnswer(http.StatusOK))
		c.Leave(stopIn(2 * routeLimit))
		is.New(t).Equal(sendRequest(c, http.MethodPost, "/once/1").Code, http.StatusOK)
	})
	t.Run("end is over", func(t *testing.T) {
		c, s := startCarrier(t, signedAnswer(http.StatusOK))
		c.Leave(stopIn(0))
		w := sendRequest(c, http.MethodPost, "/safe/1")
		checkRefused(t, w.Code, w.Header())
		is.New(t).Equal(len(s.sent), 0)
	})
}

// Guards against callers that get no answer from an instance that leaves, since it cuts their requests at its targets when
// its time is over: those that have begun before get a final answer, too.
func TestRequestsEndBeforeTheyAreCut(t *testing.T) {
	for _, path := range []string{"/once/1", "/safe/1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			c, s := startCarrier(t, scriptedAttempt{hang: true})
			var deadlines stopper.Deadlines
			time.AfterFunc(promptly/2, func() {
				deadlines = stopIn(promptly)
				c.Leave(deadlines)
			})
			w := sendRequest(c, http.MethodPost, path)
			is.Equal(w.Code, http.StatusGatewayTimeout)
			is.True(time.Now().After(deadlines.End))
			is.True(time.Now().Before(deadlines.Cut))
			is.Equal(len(s.sent), 1)
		})
	}
}

// Guards against a stop that sends a request to one more target which it may have to break off: the first one has not run it.
func TestLeavingInstanceMakesNoSecondTryThatItMayBreakOff(t *testing.T) {
	rejecting := notExecutedAnswer(http.StatusServiceUnavailable)
	c, s := startCarrier(t, rejecting, signedAnswer(http.StatusOK))
	s.attempts[0].connecting = func() { c.Leave(stopIn(promptly)) }
	w := sendRequest(c, http.MethodPost, "/once/1")
	checkRefused(t, w.Code, w.Header())
	is.New(t).Equal(len(s.sent), 1)
}

// Guards against requests that wait for a target when their instance leaves, and are sent late, though they may have to be
// broken off there. Their callers learn at once that they have to go elsewhere.
func TestWaitingRequestsThatMayOutlastTheStopAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	quick := signedAnswer(http.StatusOK)
	c, s := startCarrier(t, quick, quick, scriptedAttempt{hang: true})
	view := *c.Views.View()
	view.Targets = map[string][]placer.Spec{"listings": view.Targets["listings"][:1]}
	c.ApplyView(&view)
	for range 2 {
		is.Equal(sendRequest(c, http.MethodPost, "/safe/1").Code, http.StatusOK) // so that a short wait is expected
	}
	for range 2 {
		go sendRequest(c, http.MethodPost, "/safe/1")
	}
	time.Sleep(promptly / 4)
	leftAt := make(chan time.Time, 1)
	time.AfterFunc(promptly/4, func() {
		leftAt <- time.Now()
		c.Leave(stopIn(routeLimit / 2))
	})
	w := sendRequest(c, http.MethodPost, "/safe/1")
	checkRefused(t, w.Code, w.Header())
	is.Equal(w.Body.String(), "leaving\n")
	is.True(time.Since(<-leftAt) < promptly)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(len(s.sent), 4)
}

// Guards against uploads that go on while their instance leaves, and are cut without an answer or taken too late.
func TestUploadsThatMayOutlastTheStopAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c, s := startCarrier(t, signedAnswer(http.StatusOK))
	conn := dial(t, listen(t, c))
	is.NoErr(conn.Post("/once/1", "X-Chervilrail-Attempt-Id: a\r\n", uploadLength, make([]byte, uploadPart)))
	time.Sleep(promptly / 2)
	c.Leave(stopIn(promptly))
	is.NoErr(conn.SetReadDeadline(time.Now().Add(promptly)))
	assertRefusal(t, conn, http.StatusServiceUnavailable, true)
	is.Equal(len(s.sent), 0)
}

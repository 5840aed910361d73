package carrier

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/placer"
	"chervilrail.example/core/quoter"
	"chervilrail.example/entry/internal/locator"
)

// Guards against a request that waits for a connection to its target when its instance leaves, and is sent then, though it
// may have to be broken off there.
func TestRequestThatWaitsForAConnectionIsNotSentOnceItsInstanceLeaves(t *testing.T) {
	for _, path := range []string{"/once/1", "/safe/1"} {
		t.Run(path, func(t *testing.T) {
			c, s := startCarrier(t, signedAnswer(http.StatusOK))
			s.attempts[0].connecting = func() { c.Leave(stopIn(promptly)) }
			w := sendRequest(c, http.MethodPost, path)
			checkRefused(t, w.Code, w.Header())
			is.New(t).Equal(w.Body.String(), "leaving\n")
		})
	}
}

// slowLocator is a Locator whose calls last until their contexts end, or for a time.
type slowLocator struct {
	soleInstance
	begun chan struct{}
	last  time.Duration
}

func (l *slowLocator) Locate(ctx context.Context, _ []locator.Peer, _ string, _ placer.AssignRequest) placer.Assignment {
	close(l.begun)
	select {
	case <-ctx.Done():
	case <-time.After(l.last):
	}
	return placer.Assignment{}
}

// Guards against a request that waits for the place of its object when its instance leaves, and is sent or refused late: the
// instance that knows the place may not answer.
func TestRequestThatWaitsForAPlaceIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c, s := startCarrier(t, signedAnswer(http.StatusOK))
	view := c.Views.View()
	for _, r := range view.Table.Plan.Routes {
		r.Sticky = true
	}
	l := &slowLocator{begun: make(chan struct{}), last: routeLimit * 2 / 3}
	c.Locator = l
	leftAt := make(chan time.Time, 1)
	go func() {
		<-l.begun
		leftAt <- time.Now()
		c.Leave(stopIn(routeLimit / 2))
	}()
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "http://h.example/once/1", nil)
	r.Header.Set("X-Chervilrail-Affinity-Key", "k")
	r.Header.Set("X-Chervilrail-Attempt-Id", "a")
	c.ServeHTTP(w, r)
	checkRefused(t, w.Code, w.Header())
	is.Equal(len(s.sent), 0)
	is.True(time.Since(<-leftAt) < promptly)
}

// slowQuotas are Quotas that wait for room until the contexts of requests end, or for a time.
type slowQuotas struct {
	begun    chan struct{}
	last     time.Duration
	verdict  quoter.Verdict
	returned int
}

func (q *slowQuotas) Admit(ctx context.Context, _ string, _, _ time.Time) quoter.Verdict {
	close(q.begun)
	select {
	case <-ctx.Done():
	case <-time.After(q.last):
	}
	return q.verdict
}
func (q *slowQuotas) Return(string, quoter.Verdict) { q.returned++ }

// Guards against a request that waits for its quota when its instance leaves, and is refused late or loses its quota though
// it did not run.
func TestRequestThatWaitsForItsQuotaIsRefusedAtOnce(t *testing.T) {
	for name, verdict := range map[string]quoter.Verdict{"granted": {}, "unknown": {Outcome: quoter.Unknown}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, s := startCarrier(t, signedAnswer(http.StatusOK))
			requireKeys(c, &fakeQuotas{})
			q := &slowQuotas{begun: make(chan struct{}), last: routeLimit * 2 / 3, verdict: verdict}
			c.Quotas = q
			leftAt := make(chan time.Time, 1)
			go func() {
				<-q.begun
				leftAt <- time.Now()
				c.Leave(stopIn(routeLimit / 2))
			}()
			w := sendWithHeader(c, "/once/1", key(secret))
			checkRefused(t, w.Code, w.Header())
			is.Equal(w.Body.String(), "leaving\n")
			is.Equal(len(s.sent), 0)
			is.Equal(q.returned == 1, verdict.Outcome == quoter.Granted)
			is.True(time.Since(<-leftAt) < promptly)
		})
	}
}

package carrier

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"chervilrail.example/core/placer"
	"chervilrail.example/entry/internal/pooler"
	"chervilrail.example/entry/internal/watcher"
	"chervilrail.example/platform/translator"
)

// target returns the name of the target that a request was addressed to.
func target(r *pooler.Request) string { return r.Header.Get(translator.HeaderTarget) }

// Guards against a target that asks for no requests and gets the next ones, and against a caller who is not served by
// another target instead.
func TestTargetThatTurnsRequestsAwayGetsNoMore(t *testing.T) {
	is := is.New(t)
	away := notExecutedAnswer(http.StatusServiceUnavailable)
	away.header.Set(translator.HeaderRetryAfter, "3")
	c, s := startCarrier(t, away, signedAnswer(http.StatusOK))
	for range 20 {
		is.Equal(sendRequest(c, http.MethodPost, "/once/1").Code, http.StatusOK)
	}
	is.Equal(len(s.sent), 21)
	for _, r := range s.sent[1:] {
		is.True(target(r) != target(s.sent[0]))
	}
}

// Guards against requests that wait until their deadline though all targets are known to want none for longer.
func TestRequestsAreRefusedWithTheTimeAtWhichTargetsTakeSome(t *testing.T) {
	is := is.New(t)
	away := notExecutedAnswer(http.StatusServiceUnavailable)
	away.header.Set(translator.HeaderRetryAfter, "30")
	c, s := startCarrier(t, away)
	for range 3 {
		sendRequest(c, http.MethodPost, "/once/1")
	}
	is.Equal(len(s.sent), 3) // one at each target
	w := sendRequest(c, http.MethodPost, "/once/1")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.True(w.Header().Get("Retry-After") >= "29")
	is.Equal(len(s.sent), 3)
}

// Guards against a request that is sent by an old decision: its target left the control state while the request waited
// for a connection.
func TestRequestsAreNotSentByAnOldDecision(t *testing.T) {
	is := is.New(t)
	var c *Carrier
	var s *fakeSender
	left := signedAnswer(http.StatusOK)
	left.connecting = func() {
		view := *c.Views.View()
		var specs []placer.Spec
		for _, spec := range view.Targets["listings"] {
			if spec.Name != target(s.sent[0]) {
				specs = append(specs, spec)
			}
		}
		view.Targets = map[string][]placer.Spec{"listings": specs}
		c.Views.(*fakeViews).view.Store(&view)
		c.ApplyView(&watcher.View{Table: view.Table, Targets: view.Targets, InstanceCount: 1})
	}
	c, s = startCarrier(t, left, signedAnswer(http.StatusOK))
	is.Equal(sendRequest(c, http.MethodPost, "/once/1").Code, http.StatusOK)
	is.Equal(len(s.sent), 2)
	is.True(target(s.sent[1]) != target(s.sent[0]))
}

// Guards against a target that says that it leaves and gets the next requests, in answers of every kind.
func TestTargetThatSaysItLeavesGetsNoMore(t *testing.T) {
	for name, leaving := range map[string]scriptedAttempt{
		"served": signedAnswer(http.StatusOK), "failed": signedAnswer(http.StatusInternalServerError),
		"turned away": notExecutedAnswer(http.StatusServiceUnavailable),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			leaving.header.Set(translator.HeaderShortLeaving, "1")
			c, s := startCarrier(t, leaving, signedAnswer(http.StatusOK))
			for range 20 {
				sendRequest(c, http.MethodPost, "/once/1")
			}
			for _, r := range s.sent[1:] {
				is.True(target(r) != target(s.sent[0]))
			}
		})
	}
}

// Guards against a statement of targets that nothing reads and nobody notices, and against a log line for each answer.
func TestUnreadStatementsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	answer := signedAnswer(http.StatusOK)
	answer.header.Set("Server-Mood", "low")
	c, _ := startCarrier(t, answer)
	for range 5 {
		sendRequest(c, http.MethodPost, "/once/1")
	}
	is.Equal(testutil.ToFloat64(c.Metrics.unread), 1.0)
}

// Guards against what another target says of itself being taken for what the addressed one says, after its address was
// assigned to the other.
func TestMisdirectedAnswersSayNothingOfTheTarget(t *testing.T) {
	is := is.New(t)
	other := scriptedAttempt{status: http.StatusMisdirectedRequest, header: http.Header{
		translator.HeaderLeaving: {"1"}, translator.HeaderLimit: {"0"}, translator.HeaderLoad: {"9,9,9"},
	}}
	c, s := startCarrier(t, other)
	for range 6 {
		sendRequest(c, http.MethodPost, "/once/1")
	}
	targets := map[string]int{}
	for _, r := range s.sent {
		targets[target(r)]++
	}
	is.Equal(len(targets), 3)
	is.True(len(s.sent) > 6) // none of them leaves or has a limit
}

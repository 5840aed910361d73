package carrier

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/messenger"
	"chervilrail.example/core/placer"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/pooler"
)

// recordAnswer records the service time of a request that was sent at a given time and answered, and returns its outcome.
func (c *Carrier) recordAnswer(j *job, target *placer.Spec, status int, sent time.Time) placer.Outcome {
	took := time.Since(sent)
	if target.Region != c.Region {
		took = max(0, took-regionRoundTrip)
	}
	out := placer.Outcome{
		ResponseTime: took, ExpectedTime: c.routes.meanServiceTime(j.route, took),
		Failed: status >= http.StatusInternalServerError,
	}
	c.routes.recordServiceTime(j.route, took)
	c.clearSuspicion(sent, j)
	return out
}

// classify returns the result and the state of an attempt from its answer.
func (c *Carrier) classify(
	j *job, a *pooler.Answer, reply messenger.Reply, sendOutcome pooler.Outcome,
) (result, attemptState) {
	switch sendOutcome {
	case pooler.Unsent:
		return result{}, unsent
	case pooler.Broken:
		return result{}, unknown
	case pooler.Answered:
	}
	if reply.Unrun {
		return result{}, notExecuted
	}
	success := a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
	if success && (!reply.Signed || a.Header.Get("Content-Encoding") != "") {
		return result{}, unknown
	}
	if impliesNotExecuted(a.Status) && !j.route.GetIdempotent() {
		// If forwarded, these statuses would tell the caller that the request was not executed, which the target did
		// not report.
		return result{}, unknown
	}
	return result{status: a.Status, answer: a, reason: "answered"}, answered
}

// impliesNotExecuted reports whether a status tells a caller that its request was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// clearSuspicion removes a request that succeeded from the suspects of all entry instances.
func (c *Carrier) clearSuspicion(now time.Time, j *job) {
	if c.Quarantine.RecordSuccess(now, j.fingerprint) {
		c.Views.ReportLoss(&wire.Loss{Fingerprint: j.fingerprint[:], Success: true, Incarnation: rand.Uint64()})
	}
}

// loss describes an attempt without an answer.
type loss struct {
	sendOutcome pooler.Outcome
	err         error
	// cancelled is set if the attempt's context had ended: its deadline had passed or its caller had disconnected.
	cancelled bool
	took      time.Duration
}

// unacknowledged returns how many bytes of the request the target's TCP stack had not acknowledged.
func (l *loss) unacknowledged() int {
	var undelivered *pooler.UndeliveredError
	if errors.As(l.err, &undelivered) {
		return undelivered.Bytes
	}
	return 0
}

// recordLoss logs and counts a failed attempt and closes the idle connections to its target. If the target may have
// crashed while executing the request, it records the loss and reports it to all entry instances.
func (c *Carrier) recordLoss(j *job, target *placer.Spec, l loss) {
	_ = level.Info(c.Logger).Log("msg", "attempt failed", "id", j.call.ID, "target", target.Name, "zone", target.Zone,
		"sent", l.sendOutcome != pooler.Unsent, "late", l.cancelled, "took", l.took,
		"held", l.unacknowledged(), "err", l.err)
	if l.unacknowledged() > 0 {
		c.Metrics.undelivered.WithLabelValues(j.service).Inc()
	}
	c.Sender.CloseIdle(target.Address)
	// A target that has not received the whole request does not execute it, and did not crash because of it.
	if l.sendOutcome != pooler.Broken || l.cancelled || l.unacknowledged() > 0 {
		return
	}
	run := quarantiner.Run{Target: target.Name, Incarnation: target.Incarnation}
	if c.Quarantine.RecordLoss(time.Now(), j.fingerprint, run) {
		c.Views.ReportLoss(&wire.Loss{Fingerprint: j.fingerprint[:], Target: target.Name, Incarnation: target.Incarnation})
	}
}

package carrier

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/gauger"
	"chervilrail.example/core/messenger"
	"chervilrail.example/core/placer"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/pooler"
)

// recordReply records what a target's answer to a request, which was sent at a given time, says of the target. It
// returns the load to count for the target, nil if the answer says nothing of it.
func (c *Carrier) recordReply(
	j *job, svc *serviceState, decision placer.Decision, sent time.Time, status int, reply messenger.Reply,
) *messenger.Load {
	j.load, j.limit = reply.Load, reply.Limit
	c.logReply(j, decision, status, reply)
	if status == http.StatusMisdirectedRequest {
		// Another target has the address now. What it says of itself is not about this one.
		return nil
	}
	if reply.Leaving {
		c.recordLeaving(j, svc, decision)
	}
	c.recordLimit(j, svc, decision, sent, reply)
	if !reply.RetryAt.IsZero() {
		c.recordBackoff(j, svc, decision, reply.RetryAt)
		// A target that turns requests away reports no load and would look like the emptiest one.
		return nil
	}
	c.observe(&decision.Spec, reply.Load)
	return reply.Load
}

// logReply logs and counts an answer by which a target turns a request away or says something of itself that changes
// what it should get.
func (c *Carrier) logReply(j *job, decision placer.Decision, status int, reply messenger.Reply) {
	c.logUnread(j, decision, reply)
	if reply.Unrun {
		c.Metrics.rejections.WithLabelValues(j.service, strconv.Itoa(status)).Inc()
	}
	if !reply.Unrun && reply.RetryAt.IsZero() && !reply.Leaving && len(reply.Malformed) == 0 {
		return
	}
	var backoff time.Duration
	if !reply.RetryAt.IsZero() {
		backoff = time.Until(reply.RetryAt)
	}
	_ = level.Info(c.Logger).Log("msg", "answer of target", "id", j.call.ID, "target", decision.Spec.Name,
		"incarnation", decision.Spec.Incarnation, "way", decision.Reason, "status", status, "unrun", reply.Unrun,
		"backoff", backoff, "leaving", reply.Leaving, "load", reply.Load, "malformed", strings.Join(reply.Malformed, ","))
}

// maxUnread bounds the names of headers that are logged as unread.
const maxUnread = 32

// unreadHeaders are the headers that were logged as unread. The zero value is ready.
type unreadHeaders struct {
	mu   sync.Mutex
	seen map[string]bool
}

// isNew reports whether a name was not seen before, and remembers it.
func (u *unreadHeaders) isNew(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seen[name] || len(u.seen) >= maxUnread {
		return false
	}
	if u.seen == nil {
		u.seen = map[string]bool{}
	}
	u.seen[name] = true
	return true
}

// logUnread logs, once for each header, that targets say something that nothing reads.
func (c *Carrier) logUnread(j *job, decision placer.Decision, reply messenger.Reply) {
	for _, name := range reply.Unread {
		if !c.unread.isNew(name) {
			continue
		}
		c.Metrics.unread.Inc()
		_ = level.Warn(c.Logger).Log("msg", "unread statement of target", "header", name, "id", j.call.ID,
			"target", decision.Spec.Name)
	}
}

// recordBackoff records until when a target wants no requests of this instance.
func (c *Carrier) recordBackoff(j *job, svc *serviceState, decision placer.Decision, until time.Time) {
	extended, report := svc.recordBackoff(time.Now(), decision.Target, until)
	if !extended {
		return
	}
	if report {
		c.Views.ReportBackoff(decision.Spec.Name, decision.Spec.Incarnation, until)
	}
	c.Metrics.backoffs.WithLabelValues(j.service).Inc()
	_ = level.Info(c.Logger).Log("msg", "target wants no requests", "id", j.call.ID, "target", decision.Spec.Name,
		"incarnation", decision.Spec.Incarnation, "backoff", time.Until(until),
		"reported", report)
}

// recordLeaving records that a target leaves. Requests to it that it has not received by then are cancelled, as they are
// when it announces that it leaves.
func (c *Carrier) recordLeaving(j *job, svc *serviceState, decision placer.Decision) {
	now := time.Now()
	if !svc.recordLeaving(now, decision.Target) {
		return
	}
	c.withdrawals.add(now, []placer.Spec{decision.Spec})
	c.Views.ReportLeave(decision.Spec.Name, decision.Spec.Incarnation)
	c.Metrics.leaves.WithLabelValues(j.service).Inc()
	_ = level.Info(c.Logger).Log("msg", "target says that it leaves", "id", j.call.ID, "target", decision.Spec.Name,
		"incarnation", decision.Spec.Incarnation)
}

// recordWithheld records a request that was not sent because the decision for its target no longer held.
func (c *Carrier) recordWithheld(
	j *job, svc *serviceState, decision placer.Decision, withheld *pooler.WithheldError,
) {
	_ = level.Info(c.Logger).Log("msg", "request withheld", "id", j.call.ID, "target", decision.Spec.Name,
		"incarnation", decision.Spec.Incarnation, "reason", withheld.Reason, "way", decision.Reason)
	svc.done(decision.Target, placer.Outcome{Withheld: true})
}

// observe reports the load that a target sent with its answer, if the report is usable.
func (c *Carrier) observe(target *placer.Spec, l *messenger.Load) {
	if load, ok := l.PerSlot(); ok {
		c.Views.Observe(gauger.Reading{Target: gauger.Key(target.Name), PerSlot: load})
	}
}

// recordLimit records what a target's answer says of its limit, and reports a change to all instances. That the target
// rejected the request without a limit says nothing of one that it named before.
func (c *Carrier) recordLimit(
	j *job, svc *serviceState, decision placer.Decision, sent time.Time, reply messenger.Reply,
) {
	if reply.Limit == nil && (!reply.Signed || reply.Unrun) {
		return
	}
	limit, changed := svc.recordLimit(time.Now(), sent, decision.Target, reply.Limit)
	if !changed {
		return
	}
	target := &decision.Spec
	c.Metrics.limits.WithLabelValues(j.service, formatYes(limit.Named)).Inc()
	_ = level.Info(c.Logger).Log("msg", "target names limit", "id", j.call.ID, "target", target.Name, "named", limit.Named,
		"rate", limit.Rate, "version", limit.Version)
	c.Views.ReportRateLimit(&wire.RateLimit{
		Target: target.Name, Incarnation: target.Incarnation, Service: j.service,
		Named: limit.Named, Rate: limit.Rate, Version: limit.Version,
	})
}

func formatYes(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

package forwarder

import (
	"net/http"
	"sync"
	"time"

	"chervilrail.example/core/admitter"
	"chervilrail.example/core/leaver"
	"chervilrail.example/core/retrier"
	"chervilrail.example/core/tuner"
	"chervilrail.example/entry/internal/directory"
	"chervilrail.example/entry/internal/refuser"
)

// admission holds the admission state of one service: its queue, its concurrency limit and its retry budget.
type admission struct {
	mu     sync.Mutex
	queue  admitter.Admitter
	limit  tuner.Tuner
	view   *directory.View
	budget *retrier.Budget
	// responseTime is the smoothed time from the start of an attempt to the response's header.
	responseTime time.Duration
}

const (
	// responseTimeoutFactor times the usual response time is how long a connection may go without a response before it
	// is considered dead.
	responseTimeoutFactor = 8
	minResponseTimeout    = time.Second
)

func newAdmission() *admission { return &admission{budget: retrier.New()} }

// applyView adapts the concurrency limit to a new view.
func (d *admission) applyView(now time.Time, v *directory.View, service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view == v {
		return
	}
	d.view = v
	own := v.Pools[service].OwnSlots(now)
	instances := max(1, v.Instances.Len())
	d.limit.SetBounds(own, own+v.Pools[service].BorrowableSlots(now)/instances)
	d.resize(now)
}

func (d *admission) resize(now time.Time) {
	if d.limit.Limit() != d.queue.Capacity() {
		notifyAdmitted(d.queue.SetCapacity(now, d.limit.Limit()))
	}
}

// notifyAdmitted informs waiting requests that they are admitted.
func notifyAdmitted(tickets []*admitter.Ticket) {
	for _, t := range tickets {
		t.Decided <- admitter.Decision{Admitted: true}
	}
}

func (d *admission) offer(now time.Time, t *admitter.Ticket) (admitter.Decision, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Offer(now, t)
}

func (d *admission) done(t *admitter.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	notifyAdmitted(d.queue.Done(time.Now(), t))
}

func (d *admission) cancel(t *admitter.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	notifyAdmitted(d.queue.Cancel(time.Now(), t))
}

func (d *admission) expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.queue.Expire(now) {
		t.Decided <- admitter.Decision{Retry: d.queue.RetryAt(now, t.Class), Reason: "waited"}
	}
}

// recordSuccess updates the response time, the concurrency limit and the retry budget.
func (d *admission) recordSuccess(now time.Time, took time.Duration) {
	d.budget.RecordSuccess()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.responseTime += (took - d.responseTime) / smoothing
	d.limit.RecordSuccess(d.queue.Running() >= d.queue.Capacity())
	d.resize(now)
}

// recordShed lowers the concurrency limit because a target refused work for lack of capacity.
func (d *admission) recordShed(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit.RecordShed(now)
	d.resize(now)
}

func (d *admission) retryAt(now time.Time, j *job) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.RetryAt(now, j.entry.Class)
}

func (d *admission) responseTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(minResponseTimeout, responseTimeoutFactor*d.responseTime)
}

func (d *admission) spare() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return int64(max(0, d.queue.Capacity()-d.queue.Running()-d.queue.Waiting()))
}

// admit waits until the request is admitted. It returns a refusal if the queue rejects the request, the caller disconnects,
// or the process leaves and the request may outlast that.
func (f *Forwarder) admit(j *job, d *admission) (*admitter.Ticket, *refuser.Refusal) {
	now := time.Now()
	t := &admitter.Ticket{
		Class:        j.entry.Class,
		Organisation: j.entry.Organisation,
		Deadline:     j.deadline,
		Decided:      make(chan admitter.Decision, 1),
	}
	decision, decided := d.offer(now, t)
	if !decided {
		ctx, cancel := f.leaving.Admission(j.request.Context(), j.deadline)
		defer cancel()
		select {
		case decision = <-t.Decided:
		case <-ctx.Done():
			d.cancel(t)
			if leaver.Ends(ctx) {
				return nil, f.refuseLeaving(time.Now())
			}
			return nil, refuse(http.StatusServiceUnavailable, "gone", "the caller went away", time.Time{})
		}
	}
	if decision.Admitted {
		return t, nil
	}
	return nil, refuse(http.StatusServiceUnavailable, decision.Reason, "too much work for the targets", decision.Retry)
}

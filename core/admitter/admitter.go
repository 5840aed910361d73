// Package admitter decides in which order requests are sent to the targets of a service, and which are refused. Its
// state machine does no locking and starts no goroutines: Offer, Done, Cancel, Expire and SetCapacity return what they
// decided, and the caller holds one lock.
package admitter

import (
	"time"

	"chervilrail.example/core/cataloguer"
)

const (
	// uploadFloorDivisor defines the share of the capacity that waiting uploads always get: a fifth.
	uploadFloorDivisor = 5
	// uploadCeilingDivisor defines the share that uploads may use: half. They are slow, and without a limit an urgent
	// look-up would have to wait for one of them to end.
	uploadCeilingDivisor = 2
	// browseReserveDivisor defines the share of the capacity that browsing leaves free for more urgent classes: a
	// tenth.
	browseReserveDivisor = 10
	// queueFactor limits the length of a class's queue, as a multiple of the capacity; minQueue is the least limit.
	queueFactor = 8
	minQueue    = 16
	// smoothing is the divisor of the exponential moving average of service times: the newest one has a weight of an
	// eighth.
	smoothing = 8
)

// maxWait is how long a request of each class may wait in the queue; an earlier deadline of the caller takes
// precedence.
var maxWait = map[cataloguer.Class]time.Duration{
	cataloguer.Urgent: 2 * time.Second,
	cataloguer.Once:   5 * time.Second,
	cataloguer.Upload: 30 * time.Second,
	cataloguer.Browse: time.Second,
}

// Ticket represents one request. Set the exported fields, then pass it to Offer.
type Ticket struct {
	Class        cataloguer.Class
	Organisation string
	// Deadline is when the caller stops waiting, zero if it is not known.
	Deadline time.Time
	// Decided receives the decision on a ticket that has to wait; it needs a buffer of one.
	Decided chan Decision

	expires time.Time
	started time.Time
	state   ticketState
}

type ticketState int

const (
	stateNew ticketState = iota
	stateWaiting
	stateRunning
	stateEnded
)

// Decision is the outcome of a ticket.
type Decision struct {
	Admitted bool
	// Retry is when a refused caller should try again.
	Retry time.Time
	// Reason is a single word for logs.
	Reason string
}

// Admitter admits the requests of one service. Its zero value has no capacity; call SetCapacity.
type Admitter struct {
	capacity       int
	running        int
	byClass        map[cataloguer.Class]int
	byOrganisation map[string]int
	queues         map[cataloguer.Class][]*Ticket
	// serviceTime is the smoothed time that a request other than an upload runs.
	serviceTime time.Duration
}

// SetCapacity changes how many requests may run at once, and returns the waiting tickets that are admitted by that.
func (a *Admitter) SetCapacity(now time.Time, n int) []*Ticket {
	a.init()
	a.capacity = n
	return a.fill(now)
}

func (a *Admitter) init() {
	if a.byClass == nil {
		a.byClass = map[cataloguer.Class]int{}
		a.byOrganisation = map[string]int{}
		a.queues = map[cataloguer.Class][]*Ticket{}
	}
}

// Capacity returns how many requests may run at once.
func (a *Admitter) Capacity() int { return a.capacity }

// Running returns how many requests run.
func (a *Admitter) Running() int { return a.running }

// Waiting returns how many requests wait.
func (a *Admitter) Waiting() int {
	n := 0
	for _, q := range a.queues {
		n += len(q)
	}
	return n
}

// Offer admits a ticket, refuses it, or queues it; the result is false if it was queued.
func (a *Admitter) Offer(now time.Time, t *Ticket) (Decision, bool) {
	a.init()
	t.expires = now.Add(maxWait[t.Class])
	if !t.Deadline.IsZero() && t.Deadline.Before(t.expires) {
		t.expires = t.Deadline
	}
	if a.waitingAhead(t.Class) == 0 && a.fits(t.Class) {
		a.start(now, t)
		return Decision{Admitted: true}, true
	}
	if len(a.queues[t.Class]) >= a.queueBound() {
		return a.refuse(now, t, "queue"), true
	}
	// A request that would time out in the queue is refused at once: the caller can act on it, and the queue stays
	// short for requests that can still be answered.
	if now.Add(a.expectedWait(t.Class)).After(t.expires) {
		return a.refuse(now, t, "late"), true
	}
	t.state = stateWaiting
	a.queues[t.Class] = append(a.queues[t.Class], t)
	return Decision{}, false
}

func (a *Admitter) refuse(now time.Time, t *Ticket, reason string) Decision {
	t.state = stateEnded
	return Decision{Retry: now.Add(a.retryAfter(t.Class)), Reason: reason}
}

const minRetry = time.Second

// retryAfter returns how long the queue in its present state takes to drain, and at least minRetry.
func (a *Admitter) retryAfter(c cataloguer.Class) time.Duration {
	return max(minRetry, a.expectedWait(c))
}

func (a *Admitter) queueBound() int { return max(minQueue, queueFactor*a.capacity) }

// waitingAhead counts the waiting requests of the same and more urgent classes.
func (a *Admitter) waitingAhead(c cataloguer.Class) int {
	n := 0
	for _, o := range cataloguer.Classes() {
		if o.Rank() <= c.Rank() {
			n += len(a.queues[o])
		}
	}
	return n
}

func (a *Admitter) expectedWait(c cataloguer.Class) time.Duration {
	if a.capacity <= 0 {
		return maxWait[c]
	}
	return a.serviceTime * time.Duration(a.waitingAhead(c)+1) / time.Duration(a.capacity)
}

// fits reports whether one more request of the class may run now.
func (a *Admitter) fits(c cataloguer.Class) bool {
	switch c {
	case cataloguer.Upload:
		ceiling := max(1, a.capacity/uploadCeilingDivisor)
		return a.running < a.capacity && a.byClass[c] < ceiling
	case cataloguer.Browse:
		reserve := a.capacity / browseReserveDivisor
		return a.running < a.capacity-reserve
	case cataloguer.Urgent, cataloguer.Once:
	}
	return a.running < a.capacity
}

func (a *Admitter) start(now time.Time, t *Ticket) {
	t.state = stateRunning
	t.started = now
	a.running++
	a.byClass[t.Class]++
	a.byOrganisation[t.Organisation]++
}

// Done ends a running ticket and returns the waiting tickets that are admitted in its place.
func (a *Admitter) Done(now time.Time, t *Ticket) []*Ticket {
	if t.state != stateRunning {
		return nil
	}
	t.state = stateEnded
	a.running--
	a.byClass[t.Class]--
	a.byOrganisation[t.Organisation]--
	if a.byOrganisation[t.Organisation] == 0 {
		delete(a.byOrganisation, t.Organisation)
	}
	if t.Class != cataloguer.Upload {
		a.serviceTime += (now.Sub(t.started) - a.serviceTime) / smoothing
	}
	return a.fill(now)
}

// Cancel removes a ticket whose caller has disconnected. If it was running, it is ended as by Done.
func (a *Admitter) Cancel(now time.Time, t *Ticket) []*Ticket {
	if t.state == stateRunning {
		return a.Done(now, t)
	}
	a.remove(t)
	t.state = stateEnded
	return nil
}

func (a *Admitter) remove(t *Ticket) {
	q := a.queues[t.Class]
	for i, o := range q {
		if o == t {
			a.queues[t.Class] = append(q[:i:i], q[i+1:]...)
			return
		}
	}
}

// Expire refuses the waiting tickets that have waited too long, and returns them.
func (a *Admitter) Expire(now time.Time) []*Ticket {
	var out []*Ticket
	for class, q := range a.queues {
		var rest []*Ticket
		for _, t := range q {
			if now.Before(t.expires) {
				rest = append(rest, t)
				continue
			}
			t.state = stateEnded
			out = append(out, t)
		}
		a.queues[class] = rest
	}
	return out
}

// RetryAt returns when a caller that is refused now should try again.
func (a *Admitter) RetryAt(now time.Time, c cataloguer.Class) time.Time {
	return now.Add(a.retryAfter(c))
}

// fill admits waiting tickets while there is capacity.
func (a *Admitter) fill(now time.Time) []*Ticket {
	var out []*Ticket
	for {
		t := a.next(now)
		if t == nil {
			return out
		}
		a.remove(t)
		a.start(now, t)
		out = append(out, t)
	}
}

// next selects the waiting ticket to admit: uploads while they are below their floor, then by urgency.
func (a *Admitter) next(now time.Time) *Ticket {
	floor := max(1, a.capacity/uploadFloorDivisor)
	if a.byClass[cataloguer.Upload] < floor && a.fits(cataloguer.Upload) {
		if t := a.fairest(now, cataloguer.Upload); t != nil {
			return t
		}
	}
	for _, c := range cataloguer.Classes() {
		if !a.fits(c) {
			continue
		}
		if t := a.fairest(now, c); t != nil {
			return t
		}
	}
	return nil
}

// fairest selects the oldest ticket of the organisation with the fewest running requests, so that a peak of one
// organisation does not delay the others.
func (a *Admitter) fairest(now time.Time, c cataloguer.Class) *Ticket {
	var best *Ticket
	for _, t := range a.queues[c] {
		if !now.Before(t.expires) {
			continue
		}
		if best == nil || a.byOrganisation[t.Organisation] < a.byOrganisation[best.Organisation] {
			best = t
		}
	}
	return best
}

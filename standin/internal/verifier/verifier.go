// Package verifier checks, from what callers and targets observe, that entry instances do as targets ask in their
// answers.
package verifier

import (
	"fmt"
	"slices"
	"time"

	"chervilrail.example/platform/speaker"
)

const (
	// backoffDelay is the time after an answer within which requests that were under way may still arrive.
	backoffDelay = 500 * time.Millisecond
	// maxInBackoff is how many requests an instance may send to a target in the rest of a backoff.
	maxInBackoff = 2
	// drainLimit is the time after an answer that says that its target leaves within which callers' requests may still
	// be sent there by the same instance.
	drainLimit = 2500 * time.Millisecond
)

// The bound on a target's limit: from limitTime after the target first named it, any limitWindow may hold limitExcess
// times what the limit allows, and limitSlack more.
const (
	limitTime   = 4 * time.Second
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// Observations are what callers and targets have observed. Fill them, then call the checks.
type Observations struct {
	// Excused reports whether an entry instance was restarted or frozen between two times; nil if none was.
	Excused func(instance string, from, to time.Time) bool
	// Lost reports whether an answer that a target sent at a time may not have arrived; nil if all did.
	Lost func(target string, at time.Time) bool

	answers  map[string]speaker.Answer
	arrivals map[string][]speaker.Arrival
}

// AddAnswer adds a caller's answer.
func (o *Observations) AddAnswer(a speaker.Answer) {
	if o.answers == nil {
		o.answers = map[string]speaker.Answer{}
	}
	o.answers[a.ID] = a
}

// AddTarget adds the requests that a target received.
func (o *Observations) AddTarget(t *speaker.Target) {
	if o.arrivals == nil {
		o.arrivals = map[string][]speaker.Arrival{}
	}
	o.arrivals[t.ID] = t.Arrivals()
}

func (o *Observations) excused(instance string, from, to time.Time) bool {
	return o.Excused != nil && o.Excused(instance, from, to)
}

// bySender returns a target's arrivals by the entry instance that sent them. A request whose caller is not known is left
// out.
func (o *Observations) bySender(target string) map[string][]speaker.Arrival {
	out := map[string][]speaker.Arrival{}
	for _, a := range o.arrivals[target] {
		if instance := o.answers[a.ID].Instance; instance != "" {
			out[instance] = append(out[instance], a)
		}
	}
	return out
}

// Backoffs returns, for each entry instance that sent a target more requests than it may in a backoff, a line with the
// worst case.
func (o *Observations) Backoffs() []string {
	var out []string
	for target := range o.arrivals {
		for instance, arrivals := range o.bySender(target) {
			if worst, most := o.worstBackoff(target, instance, arrivals); most > maxInBackoff {
				out = append(out, fmt.Sprintf("%s sent %d requests to %s within the %s for which it asked for none in its answer to %s",
					instance, most, target, worst.BackoffUntil.Sub(worst.At), worst.ID))
			}
		}
	}
	return out
}

// worstBackoff returns the arrival whose backoff contains the most further arrivals, and their number.
func (o *Observations) worstBackoff(
	target, instance string, arrivals []speaker.Arrival,
) (worst speaker.Arrival, most int) {
	for i, first := range arrivals {
		if first.BackoffUntil.IsZero() || o.Lost != nil && o.Lost(target, first.At) {
			continue
		}
		n := 0
		for _, next := range arrivals[i+1:] {
			if next.At.After(first.At.Add(backoffDelay)) && next.At.Before(first.BackoffUntil) &&
				!o.excused(instance, first.At, next.At) {
				n++
			}
		}
		if n > most {
			worst, most = first, n
		}
	}
	return worst, most
}

// Leaves returns, for each entry instance that sent a target requests too long after it had passed on that the target
// leaves, a line with their number.
func (o *Observations) Leaves() []string {
	var out []string
	for target := range o.arrivals {
		for instance, arrivals := range o.bySender(target) {
			late := 0
			learned := o.passedOn(arrivals, func(a speaker.Arrival, answer speaker.Answer) bool {
				return a.Leaving && answer.Leaving
			})
			for _, a := range arrivals {
				sent := o.answers[a.ID].SentAt
				if !learned.IsZero() && sent.Sub(learned) > drainLimit && !o.excused(instance, learned, a.At) {
					late++
				}
			}
			if late > 0 {
				out = append(out, fmt.Sprintf("%s sent %d requests to %s later than %s after it had passed on that it leaves",
					instance, late, target, drainLimit))
			}
		}
	}
	return out
}

// passedOn returns when the first answer that tells something was passed on to a caller; zero if none was.
func (o *Observations) passedOn(
	arrivals []speaker.Arrival, tells func(a speaker.Arrival, answer speaker.Answer) bool,
) time.Time {
	var first time.Time
	for _, a := range arrivals {
		answer := o.answers[a.ID]
		if tells(a, answer) && (first.IsZero() || answer.AnsweredAt.Before(first)) {
			first = answer.AnsweredAt
		}
	}
	return first
}

// Limits returns a line for each target that got more than its limit allows from the instances that had passed the limit
// on. It expects limits that do not change while they hold.
func (o *Observations) Limits() []string {
	var out []string
	for target, arrivals := range o.arrivals {
		for _, named := range limitedPeriods(arrivals) {
			counted := o.countedAgainstLimit(target, named)
			allowed := limitExcess**named[0].Limit*limitWindow.Seconds() + limitSlack
			if most := mostInWindow(counted); float64(most) > allowed {
				out = append(out, fmt.Sprintf("%s got %d requests in %s, allowed %.0f", target, most, limitWindow, allowed))
			}
		}
	}
	return out
}

// limitedPeriods returns the arrivals of each period in which all answers named a limit. Those that were turned away
// belong to the period that they fall into.
func limitedPeriods(arrivals []speaker.Arrival) [][]speaker.Arrival {
	var out [][]speaker.Arrival
	var period []speaker.Arrival
	for _, a := range arrivals {
		switch {
		case a.Limit != nil, a.Rejected && len(period) > 0:
			period = append(period, a)
		case len(period) > 0:
			out = append(out, period)
			period = nil
		}
	}
	if len(period) > 0 {
		out = append(out, period)
	}
	return out
}

// countedAgainstLimit returns the times of the arrivals of a period that count: those from limitTime on, by instances
// that had passed the limit on backoffDelay before.
func (o *Observations) countedAgainstLimit(target string, period []speaker.Arrival) []time.Time {
	var out []time.Time
	from := period[0].At.Add(limitTime)
	for instance, arrivals := range o.bySender(target) {
		arrivals = slices.DeleteFunc(arrivals, func(a speaker.Arrival) bool {
			return a.At.Before(period[0].At) || a.At.After(period[len(period)-1].At)
		})
		learned := o.passedOn(arrivals, func(a speaker.Arrival, answer speaker.Answer) bool {
			return a.Limit != nil && answer.Limited
		})
		for _, a := range arrivals {
			if !learned.IsZero() && a.At.After(from) && a.At.After(learned.Add(backoffDelay)) &&
				!o.excused(instance, learned, a.At) {
				out = append(out, a.At)
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// mostInWindow returns the most of some sorted times that fall into a limitWindow.
func mostInWindow(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first].Before(at.Add(-limitWindow)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

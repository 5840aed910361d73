// Package verifier checks, from what callers and targets observe, that entry instances do as targets ask in their
// answers.
package verifier

import (
	"fmt"
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

// Observations are what callers and targets have observed. Fill them, then call the checks.
type Observations struct {
	// Excused reports whether an entry instance was restarted or frozen between two times; nil if none was.
	Excused func(instance string, from, to time.Time) bool

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
			if worst, most := o.worstBackoff(instance, arrivals); most > maxInBackoff {
				out = append(out, fmt.Sprintf("%s sent %d requests to %s within the %s for which it asked for none", instance,
					most, target, worst.BackoffUntil.Sub(worst.At)))
			}
		}
	}
	return out
}

// worstBackoff returns the arrival whose backoff contains the most further arrivals, and their number.
func (o *Observations) worstBackoff(instance string, arrivals []speaker.Arrival) (worst speaker.Arrival, most int) {
	for i, first := range arrivals {
		if first.BackoffUntil.IsZero() {
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
			learned := o.learned(arrivals)
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

// learned returns when the first answer that said that the target leaves was passed on to a caller; zero if none was.
func (o *Observations) learned(arrivals []speaker.Arrival) time.Time {
	var first time.Time
	for _, a := range arrivals {
		answer := o.answers[a.ID]
		if a.Leaving && answer.Leaving && (first.IsZero() || answer.AnsweredAt.Before(first)) {
			first = answer.AnsweredAt
		}
	}
	return first
}

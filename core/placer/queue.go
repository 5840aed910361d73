package placer

import (
	"time"

	"chervilrail.example/core/gauger"
)

const (
	// lateWaitDivisor bounds the wait of a request that can't be on time to a quarter of the time it has left, because
	// its caller can still be served elsewhere or later.
	lateWaitDivisor = 4
	// defaultServiceTime is assumed before any service time was measured.
	defaultServiceTime = 200 * time.Millisecond
	// maxPlacementGap bounds the effect of one long time without a placement on the average.
	maxPlacementGap = time.Second
	// placementGapDecay is the time in which the gaps between the last placements lose almost two thirds of their
	// weight in the expected wait.
	placementGapDecay = time.Second
	// minRetry is the shortest time after which a refused caller is asked to retry.
	minRetry = 50 * time.Millisecond
)

// queueDeadline is the time up to which a ticket waits: while it can be on time, and a little beyond.
func (p *Placer) queueDeadline(now time.Time, t *Ticket) time.Time {
	// A first run that starts later than this would be cut off at the deadline; a retry of its caller starts with a new
	// deadline.
	if last := t.Deadline.Add(-t.ColdTime); t.FirstRun && !last.After(t.SoftDeadline) {
		return last
	}
	onTime := t.SoftDeadline.Add(-t.WarmTime)
	late := now.Add(t.Deadline.Sub(now) / lateWaitDivisor)
	if last := t.Deadline.Add(-t.WarmTime); late.After(last) {
		late = last
	}
	if onTime.After(late) {
		return onTime
	}
	return late
}

// retryAt is when a refused caller should retry, given the expected wait.
func (p *Placer) retryAt(now time.Time, wait time.Duration) time.Time {
	return now.Add(max(minRetry, wait))
}

// ticketsAhead counts the waiting tickets with the same host that are to be placed before this one. Those that wait for
// the first run of their object are left out.
func (p *Placer) ticketsAhead(now time.Time, t *Ticket) int {
	n := 0
	for _, o := range p.queue {
		if o.Host == t.Host && !now.Before(o.WarmAt) && !less(now, t, o) {
			n++
		}
	}
	return n
}

// less orders tickets: those that can be on time before the others, then by urgency, then by age.
func less(now time.Time, a, b *Ticket) bool {
	if x, y := a.onTime(now), b.onTime(now); x != y {
		return x
	}
	if a.CallerPriority != b.CallerPriority {
		return a.CallerPriority < b.CallerPriority
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.arrived.Before(b.arrived)
}

func (t *Ticket) onTime(now time.Time) bool { return !now.Add(t.WarmTime).After(t.SoftDeadline) }

// expectedWait estimates how long a ticket would wait for a slot. Where its host is known, that follows from the
// tickets ahead of it, the requests queued at the host and the end of the object's first run. Otherwise it is the time
// for the tickets ahead of it at the recent rate of placements from the queue. That rate decays towards the one of this
// instance's part of the slots: if it were kept, one slow period would have requests refused, none would wait, and
// nothing would show that the period is over.
func (p *Placer) expectedWait(now time.Time, t *Ticket) time.Duration {
	if host := p.host(now, t); host != nil {
		slots := float64(max(1, host.Slots))
		queue := time.Duration(float64(p.typicalServiceTime()) * float64(p.ticketsAhead(now, t)+1) / slots)
		queue += time.Duration(float64(t.WarmTime) * max(0, p.queuedAt(now, host)) / slots)
		return max(queue, t.WarmAt.Sub(now), p.returnAt(now, host).Sub(now))
	}
	weight := gauger.Decay(now.Sub(p.placementGapAt), placementGapDecay)
	averageGap := float64(p.typicalServiceTime()) / max(1, p.slotsPerInstance)
	gap := weight*float64(p.placementGap) + (1-weight)*averageGap
	return time.Duration(gap * float64(p.ticketsAhead(now, t)+1))
}

// queuedAt estimates how many requests are at a target beyond its slots, negative if slots are free: by this instance's
// estimate, or by the shared load if that is more. Without the latter a request for an overloaded target would wait
// here for room that others always use first.
func (p *Placer) queuedAt(now time.Time, host *Target) float64 {
	outstanding := p.outstanding(now, host)
	if load, ok := host.recentLoad(now); ok {
		outstanding = max(outstanding, load*float64(host.Slots))
	}
	return outstanding - float64(host.Slots)
}

// recordPlacement updates the average gap between placements.
func (p *Placer) recordPlacement(now time.Time) {
	if len(p.queue) > 0 && !p.lastPlacementAt.IsZero() {
		p.placementGap += (min(maxPlacementGap, now.Sub(p.lastPlacementAt)) - p.placementGap) / smoothingDivisor
		p.placementGapAt = now
	}
	p.lastPlacementAt = now
}

// typicalServiceTime is the average service time, or a default before any was measured.
func (p *Placer) typicalServiceTime() time.Duration {
	if p.meanServiceTime == 0 {
		return defaultServiceTime
	}
	return p.meanServiceTime
}

package placer

import (
	"time"

	"chervilrail.example/core/gauger"
)

const (
	// lateWaitDivisor: a request that can't be on time is held for at most a quarter of the time it has left, for its
	// caller can still be served elsewhere or later.
	lateWaitDivisor = 4
	// defaultServiceTime is taken for the service time before any has been seen.
	defaultServiceTime = 200 * time.Millisecond
	// maxPlacementGap bounds what one long time without a placement says of the next ones.
	maxPlacementGap = time.Second
	// placementGapDecay is the time in which what the last placements say of the wait loses two thirds of its weight.
	placementGapDecay = time.Second
	// minRetry is the shortest time after which a refused caller is asked back.
	minRetry = 50 * time.Millisecond
)

// queueDeadline is until when a ticket waits: while it can be on time, and a little beyond.
func (p *Placer) queueDeadline(now time.Time, t *Ticket) time.Time {
	// A first run that begins later than this would be cut off at the deadline; its caller can come back with time anew.
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

func (p *Placer) retryAt(now time.Time, wait time.Duration) time.Time {
	return now.Add(max(minRetry, wait))
}

// ahead counts the waiting tickets for the same slots that would be placed before this one.
func (p *Placer) ahead(now time.Time, t *Ticket) int {
	n := 0
	for _, o := range p.queue {
		if o.Host == t.Host && !now.Before(o.WarmAt) && !less(now, t, o) {
			n++
		}
	}
	return n
}

// less orders tickets: those that can be on time before those that can't, then by urgency, then by age.
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

// expectedWait estimates how long a ticket would wait for a slot: as long as those ahead of it take at the rate at which
// waiting requests were placed lately. That fades into the rate of this instance's part of the slots: remembered for
// good, one slow spell would have requests refused, none would wait, and nothing would show that it is over.
func (p *Placer) expectedWait(now time.Time, t *Ticket) time.Duration {
	if host := p.host(now, t); host != nil {
		slots := float64(max(1, host.Slots))
		queue := time.Duration(float64(p.typicalServiceTime()) * float64(p.ahead(now, t)+1) / slots)
		queue += time.Duration(float64(t.WarmTime) * max(0, p.queuedAt(now, host)) / slots)
		return max(queue, t.WarmAt.Sub(now))
	}
	weight := gauger.Fade(now.Sub(p.placementGapAt), placementGapDecay)
	averageGap := float64(p.typicalServiceTime()) / max(1, p.slotsPerInstance)
	gap := weight*float64(p.placementGap) + (1-weight)*averageGap
	return time.Duration(gap * float64(p.ahead(now, t)+1))
}

// queuedAt estimates how many requests a target holds beyond its slots: by what this instance knows, or by what all saw if
// that is more. Without that a request for an overfull target would wait here for a room that others always take first.
func (p *Placer) queuedAt(now time.Time, host *Target) float64 {
	held := p.outstanding(now, host)
	if load, ok := host.recentLoad(now); ok {
		held = max(held, load*float64(host.Slots))
	}
	return held - float64(host.Slots)
}

// recordPlacement notes a placement.
func (p *Placer) recordPlacement(now time.Time) {
	if len(p.queue) > 0 && !p.lastPlacementAt.IsZero() {
		p.placementGap += (min(maxPlacementGap, now.Sub(p.lastPlacementAt)) - p.placementGap) / smoothingDivisor
		p.placementGapAt = now
	}
	p.lastPlacementAt = now
}

func (p *Placer) typicalServiceTime() time.Duration {
	if p.meanServiceTime == 0 {
		return defaultServiceTime
	}
	return p.meanServiceTime
}

package placer

import (
	"time"

	"chervilrail.example/core/gauger"
)

const (
	// holdParts: a request that can't be on time is held for at most a quarter of the time it has left, for its
	// caller can still be served elsewhere or later.
	holdParts = 4
	// firstWork is taken for the service time before any has been seen.
	firstWork = 200 * time.Millisecond
	// maxGap bounds what one long time without a placement says of the next ones.
	maxGap = time.Second
	// gapLife is the time in which what the last placements say of the wait loses two thirds of its weight.
	gapLife = time.Second
	// minRetry is the shortest time after which a refused caller is asked back.
	minRetry = 50 * time.Millisecond
)

// giveUp is until when a ticket waits: while it can be on time, and a little beyond.
func (p *Placer) giveUp(now time.Time, t *Ticket) time.Time {
	// A first run that begins later than this would be cut off at the deadline; its caller can come back with time anew.
	if last := t.Deadline.Add(-t.ColdTime); t.FirstRun && !last.After(t.SoftDeadline) {
		return last
	}
	onTime := t.SoftDeadline.Add(-t.WarmTime)
	late := now.Add(t.Deadline.Sub(now) / holdParts)
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
		queue := time.Duration(float64(p.usual()) * float64(p.ahead(now, t)+1) / slots)
		queue += time.Duration(float64(t.WarmTime) * max(0, p.waiting(now, host)) / slots)
		return max(queue, t.WarmAt.Sub(now))
	}
	weight := gauger.Decay(now.Sub(p.gapAt), gapLife)
	even := float64(p.usual()) / max(1, p.share)
	gap := weight*float64(p.gap) + (1-weight)*even
	return time.Duration(gap * float64(p.ahead(now, t)+1))
}

// waiting estimates how many requests a target holds beyond its slots: by what this instance knows, or by what all saw if
// that is more. Without that a request for an overfull target would wait here for a room that others always take first.
func (p *Placer) waiting(now time.Time, host *Target) float64 {
	held := p.held(now, host)
	if load, ok := host.heard(now); ok {
		held = max(held, load*float64(host.Slots))
	}
	return held - float64(host.Slots)
}

// follow notes a placement.
func (p *Placer) follow(now time.Time) {
	if len(p.queue) > 0 && !p.placedAt.IsZero() {
		p.gap += (min(maxGap, now.Sub(p.placedAt)) - p.gap) / smoothing
		p.gapAt = now
	}
	p.placedAt = now
}

func (p *Placer) usual() time.Duration {
	if p.work == 0 {
		return firstWork
	}
	return p.work
}

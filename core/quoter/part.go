package quoter

import (
	"time"

	"chervilrail.example/core/limiter"
)

// spareDivisor: a holder likes to have half of what it uses at hand beyond that, and one at least.
const spareDivisor = 2

// part is what is held of one organisation's quota.
type part struct {
	// rate and burst are the whole quota's.
	rate   float64
	burst  float64
	held   int64
	used   limiter.Window
	wanted int64
	// reportedIn is the sequence of the last request that reported this part, 0 if its answer no longer fits.
	reportedIn uint64
	// reportedUse is the use that was reportedUse then.
	reportedUse int64
	// dirty: the allotting side does not know yet what is held.
	dirty bool
	tight bool
	// pooled: one instance of the region holds the part of all; own: this one holds a part. even is what it likes to hold
	// before any of it is used.
	pooled    bool
	owned     bool
	evenShare int64
	// exhaustedUntil is until when no more is asked for, roomAt when there is room again as far as that is known.
	exhaustedUntil time.Time
	availableAt    time.Time
}

// resize fits the part to a quota. An answer that is on its way was given for the old one and must not raise it again.
func (p *part) resize(window time.Duration, rate, burst float64) {
	before, after := p.rate*window.Seconds()+p.burst, rate*window.Seconds()+burst
	if after < before {
		p.held = int64(float64(p.held) * after / before)
		p.dirty = true
		p.reportedIn = 0
	}
	p.rate, p.burst = rate, burst
}

// retryAt is when there may be retryAt again: when the oldest use leaves the window, or when more may be had.
func (p *part) retryAt(now time.Time) time.Time {
	if free := p.used.Free(now); p.held > 0 && free.After(now) {
		return free
	}
	if p.availableAt.After(p.exhaustedUntil) {
		return p.availableAt
	}
	return p.exhaustedUntil
}

// releaseIdle gives back half of what is not used, where others lack it. Given back at once by all holders, it would be missing at
// them a moment later.
func (p *part) releaseIdle(used int64) {
	idle := p.held - used
	switch {
	case idle <= 0:
		return
	case !p.owned:
		p.held, p.dirty = used, true
	case p.tight:
		p.held, p.dirty = p.held-(idle+1)/2, true
	}
}

// prefetch is what the holder would like to have more.
func (p *part) prefetch(used int64) int64 {
	if p.tight || !p.owned {
		return 0
	}
	return max(0, max(p.evenShare, used+spare(used))-p.held)
}

func spare(used int64) int64 { return max(1, used/spareDivisor) }

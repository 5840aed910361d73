package quoter

import (
	"time"

	"chervilrail.example/core/limiter"
)

// spareDivisor defines the spare part that a holder tries to keep beyond its current use: half of the use, and at least
// one request.
const spareDivisor = 2

// part is this instance's part of one organisation's quota.
type part struct {
	// rate and burst are those of the whole quota.
	rate  float64
	burst float64
	// held is the size of the part in requests per window, used counts the requests in the window, and wanted counts
	// the waiting requests that the next request to the allotter reports as demand.
	held   int64
	used   limiter.Window
	wanted int64
	// reportedIn is the sequence of the last request that reported this part, 0 if its answer must not be applied.
	reportedIn uint64
	// reportedUse is the use reported in that request.
	reportedUse int64
	// dirty is set when the allotter does not know the current part, tight when it reported the quota as tight: nearly
	// all of the base amount is allotted, so unused parts have to be given back.
	dirty bool
	tight bool
	// pooled is set if one instance holds the part for its whole region, owned if this instance holds a part. evenShare
	// is the part to hold before any of it is used.
	pooled    bool
	owned     bool
	evenShare int64
	// exhaustedUntil is until when no more is requested; availableAt is when the quota is expected to have room, as far
	// as the allotter can estimate it.
	exhaustedUntil time.Time
	availableAt    time.Time
}

// resize adapts the part to a changed quota. If the quota was lowered, an answer in flight was computed for the old
// quota and must not raise the part again.
func (p *part) resize(window time.Duration, rate, burst float64) {
	before, after := p.rate*window.Seconds()+p.burst, rate*window.Seconds()+burst
	if after < before {
		p.held = int64(float64(p.held) * after / before)
		p.dirty = true
		p.reportedIn = 0
	}
	p.rate, p.burst = rate, burst
}

// retryAt returns when there may be room again: when the oldest use leaves the window, or when more can be allotted.
func (p *part) retryAt(now time.Time) time.Time {
	if free := p.used.OldestExpiry(now); p.held > 0 && free.After(now) {
		return free
	}
	if p.availableAt.After(p.exhaustedUntil) {
		return p.availableAt
	}
	return p.exhaustedUntil
}

// releaseIdle gives back half of the unused part where the quota is tight, and all of it where another instance holds
// the region's part. If all holders gave back everything unused at once, they would lack it a moment later.
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

// prefetch returns how much more the holder would like to hold in advance.
func (p *part) prefetch(used int64) int64 {
	if p.tight || !p.owned {
		return 0
	}
	return max(0, max(p.evenShare, used+spare(used))-p.held)
}

func spare(used int64) int64 { return max(1, used/spareDivisor) }

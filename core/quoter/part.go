package quoter

import (
	"time"

	"chervilrail.example/core/limiter"
)

// spareParts: a holder likes to have half of what it uses at hand beyond that, and one at least.
const spareParts = 2

// part is what is held of one organisation's quota.
type part struct {
	// rate and burst are the whole quota's.
	rate   float64
	burst  float64
	held   int64
	used   limiter.Window
	wanted int64
	// asked is the sequence of the last request that reported this part, 0 if its answer no longer fits.
	asked uint64
	// reported is the use that was reported then.
	reported int64
	// dirty: the allotting side does not know yet what is held.
	dirty bool
	tight bool
	// pooled: one instance of the region holds the part of all; own: this one holds a part. even is what it likes to hold
	// before any of it is used.
	pooled bool
	own    bool
	even   int64
	// shortUntil is until when no more is asked for, roomAt when there is room again as far as that is known.
	shortUntil time.Time
	roomAt     time.Time
}

// resize fits the part to a quota. An answer that is on its way was given for the old one and must not raise it again.
func (p *part) resize(window time.Duration, rate, burst float64) {
	before, after := p.rate*window.Seconds()+p.burst, rate*window.Seconds()+burst
	if after < before {
		p.held = int64(float64(p.held) * after / before)
		p.dirty = true
		p.asked = 0
	}
	p.rate, p.burst = rate, burst
}

// room is when there may be room again: when the oldest use leaves the window, or when more may be had.
func (p *part) room(now time.Time) time.Time {
	if free := p.used.Free(now); p.held > 0 && free.After(now) {
		return free
	}
	if p.roomAt.After(p.shortUntil) {
		return p.roomAt
	}
	return p.shortUntil
}

// lower gives back half of what is not used, where others lack it. Given back at once by all holders, it would be missing at
// them a moment later.
func (p *part) lower(used int64) {
	idle := p.held - used
	switch {
	case idle <= 0:
		return
	case !p.own:
		p.held, p.dirty = used, true
	case p.tight:
		p.held, p.dirty = p.held-(idle+1)/2, true
	}
}

// ahead is what the holder would like to have more.
func (p *part) ahead(used int64) int64 {
	if p.tight || !p.own {
		return 0
	}
	return max(0, max(p.even, used+spare(used))-p.held)
}

func spare(used int64) int64 { return max(1, used/spareParts) }

package quoter

import (
	"time"

	"chervilrail.example/core/limiter"
	"chervilrail.example/core/wire"
)

const (
	// directLeast is the part in requests per window from which on each entry instance holds its own. Below it one of a region
	// holds the region's: split into parts of less than a few requests, a quota lies where nobody asks for it.
	directLeast = 4
	// evenPart is the part of the usual part that is held before it is needed, spread evenly: what is held then serves the first
	// requests while no leader can be reached.
	evenPart = 0.75
	// renewEvery is how often parts are renewed without need.
	renewEvery = time.Second
	// returnEvery is how often what others lack is given back.
	returnEvery = 200 * time.Millisecond
	// unknownRetry is after what a caller is asked back whose organisation's quota nobody can tell.
	unknownRetry = 500 * time.Millisecond
)

// Holder is the using side at one entry instance; it is for use under one lock. Set the exported fields before use.
type Holder struct {
	// Self names this run of the entry instance.
	Self *wire.QuotaHolder
	// Started is when this run began.
	Started time.Time

	window   time.Duration
	fleet    Fleet
	parts    map[string]*part
	sequence uint64
	term     uint64
	// whole: the next request reports everything.
	whole bool
	lease time.Duration
	// granted is when the last request was sent that was answered.
	granted time.Time
	// aheadAt is when parts are next asked for ahead of need.
	aheadAt time.Time
	origin  time.Time
}

// Fleet is what a holder knows of the entry instances among which quotas are shared.
type Fleet struct {
	// All is how many there are, Near how many of them are of this one's region.
	All  int
	Near int
	// Owns tells for which organisations this one holds the region's part.
	Owns func(organisation string) bool
}

// Share fits the parts to the entry instances there are.
func (h *Holder) Share(f Fleet) {
	h.fleet = f
	for name, p := range h.parts {
		h.assign(name, p)
	}
}

// assign decides who holds an organisation's part here: each instance its own, or one the whole region's.
func (h *Holder) assign(name string, p *part) {
	usual := usualPart * (p.rate*h.window.Seconds() + p.burst)
	all := float64(max(1, h.fleet.All))
	p.pooled = usual < directLeast*all
	p.own = !p.pooled || h.fleet.Owns == nil || h.fleet.Owns(name)
	holders := all
	if p.pooled {
		holders = all / float64(max(1, h.fleet.Near))
	}
	p.even = int64(evenPart * usual / holders)
}

// Pooled reports whether one instance of the region holds an organisation's part for all.
func (h *Holder) Pooled(organisation string) bool {
	p, ok := h.parts[organisation]
	return ok && p.pooled
}

// Update takes the organisations of a plan. Where a quota is lowered, this holder's part is lowered alike at once.
func (h *Holder) Update(now time.Time, plan *wire.Plan) {
	if h.origin.IsZero() {
		h.origin = now.Add(-time.Second)
	}
	next := map[string]*part{}
	for _, o := range plan.GetOrganisations() {
		if o.GetRate() == 0 {
			continue
		}
		p, ok := h.parts[o.GetName()]
		if !ok {
			p = h.newPart()
		}
		p.resize(h.window, o.GetRate(), o.GetBurst())
		h.assign(o.GetName(), p)
		next[o.GetName()] = p
	}
	h.parts = next
}

func (h *Holder) newPart() *part {
	return &part{dirty: true, used: limiter.Window{Origin: h.origin, Length: h.window}}
}

// Take counts a request of an organisation, if its quota allows that. Last is the verdict on the same request before, zero
// if there was none.
func (h *Holder) Take(now time.Time, organisation string, last Verdict) Verdict {
	p, ok := h.parts[organisation]
	if !ok {
		return Verdict{Outcome: Granted}
	}
	out := Verdict{Held: p.held, Used: p.used.Used(now), Since: h.granted}
	switch {
	case !h.valid(now):
		out.Outcome, out.RetryAt = Unknown, now.Add(unknownRetry)
	case p.used.Take(now, p.held, 1):
		out.At = now
		return out
	case now.Before(p.shortUntil):
		out.Outcome, out.RetryAt = Exceeded, p.room(now)
		return out
	default:
		out.Outcome = Lacking
	}
	out.asking = last.asking
	if last.asking <= h.sequence {
		p.wanted++
		out.asking = h.sequence + 1
	}
	return out
}

// Return takes back a request that was counted and has not run.
func (h *Holder) Return(now time.Time, organisation string, v Verdict) {
	if p, ok := h.parts[organisation]; ok && !v.At.IsZero() {
		p.used.Return(now, v.At, 1)
	}
}

// valid reports whether the parts hold. The steady clock does not count the time in which the process was suspended, and the
// time of day may be set back, so both have to say so.
func (h *Holder) valid(now time.Time) bool {
	return !h.granted.IsZero() && now.Sub(h.granted) < h.lease && now.Round(0).Sub(h.granted.Round(0)) < h.lease
}

// Wants reports whether requests wait for more than is held.
func (h *Holder) Wants() bool {
	for _, p := range h.parts {
		if p.wanted > 0 {
			return true
		}
	}
	return false
}

// Request lowers what is not needed and returns the next request; there must be no other one on its way.
func (h *Holder) Request(now time.Time) *wire.AllotRequest {
	if !h.valid(now) {
		h.expire()
	}
	stale := !now.Before(h.aheadAt)
	if stale {
		h.aheadAt = now.Add(renewEvery)
	}
	h.sequence++
	out := &wire.AllotRequest{
		Holder: h.Self, Sequence: h.sequence, Term: h.term, Whole: h.whole, Age: int64(now.Sub(h.Started)),
	}
	for name, p := range h.parts {
		used := p.used.Used(now)
		p.lower(used)
		ahead := int64(0)
		if stale {
			ahead = p.ahead(used)
		}
		if p.dirty || p.wanted > 0 || ahead > 0 || h.whole && p.held+used > 0 {
			p.asked, p.reported = h.sequence, used
			out.Parts = append(out.Parts, &wire.Part{
				Organisation: name, Held: p.held, Used: used, Wanted: p.wanted, Ahead: ahead,
			})
			p.wanted = 0
		}
	}
	return out
}

// expire gives up all parts: others may hold them by now.
func (h *Holder) expire() {
	h.whole = true
	for _, p := range h.parts {
		p.held, p.dirty = 0, true
	}
}

// Answer takes the answer to the last request, which was sent at a time.
func (h *Holder) Answer(now, sent time.Time, r *wire.AllotResponse) {
	if r.GetTerm() < h.term {
		return
	}
	h.term, h.whole = r.GetTerm(), r.GetWhole()
	if r.GetWhole() {
		return
	}
	h.granted, h.lease = sent, time.Duration(r.GetLease())
	h.measure(time.Duration(r.GetWindow()))
	for _, a := range r.GetAllotments() {
		p, ok := h.parts[a.GetOrganisation()]
		if !ok {
			continue
		}
		p.tight = a.GetTight()
		if p.asked == h.sequence {
			// What was used beyond the part counts as held by the other side until it hears that it has left the window.
			p.held, p.dirty = a.GetHeld(), p.reported > a.GetHeld()
		}
		if a.GetShort() {
			p.shortUntil, p.roomAt = now.Add(time.Duration(a.GetRetry())), now.Add(time.Duration(a.GetRoom()))
		}
	}
}

// measure takes the span over which requests are counted.
func (h *Holder) measure(window time.Duration) {
	if window == h.window {
		return
	}
	h.window = window
	for name, p := range h.parts {
		p.used = limiter.Window{Origin: h.origin, Length: window}
		h.assign(name, p)
	}
}

// Stale reports whether a request is due that nobody waits for: the parts should be renewed, or others lack what is held here.
func (h *Holder) Stale(now time.Time) bool {
	age := now.Sub(h.granted)
	if len(h.parts) == 0 || age < returnEvery {
		return false
	}
	if age >= renewEvery {
		return true
	}
	for _, p := range h.parts {
		if used := p.used.Used(now); (p.tight || !p.own) && p.held > used || p.dirty && p.reported > used {
			return true
		}
	}
	return false
}

// Limited reports whether an organisation has a quota.
func (h *Holder) Limited(organisation string) bool { return h.parts[organisation] != nil }

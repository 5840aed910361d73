package quoter

import (
	"time"

	"chervilrail.example/core/limiter"
	"chervilrail.example/core/wire"
)

const (
	// minDirectPart is the mean part, in requests per window, from which on each entry instance holds its own. Below
	// it, one instance of each region holds the region's part: if a quota were split into parts of less than a few
	// requests, they would often lie at instances that get no requests.
	minDirectPart = 4
	// evenFraction is the fraction of the base amount that is held in advance, spread evenly. It serves the first
	// requests while no leader is reachable.
	evenFraction = 0.75
	// renewInterval is how often parts are renewed without demand.
	renewInterval = time.Second
	// returnInterval is how often unused parts of tight quotas are given back.
	returnInterval = 200 * time.Millisecond
	// unknownRetry is the retry delay for callers while the holder's parts have expired.
	unknownRetry = 500 * time.Millisecond
)

// Holder counts requests against the parts that one entry instance holds. It is not safe for concurrent use. Set the
// exported fields before use.
type Holder struct {
	// Self identifies this run of the entry instance.
	Self *wire.QuotaHolder
	// Started is when this run started.
	Started time.Time

	window   time.Duration
	fleet    Fleet
	parts    map[string]*part
	sequence uint64
	term     uint64
	// fullReport makes the next request report all parts.
	fullReport bool
	lease      time.Duration
	// renewedAt is when the last request that was answered was sent.
	renewedAt time.Time
	// prefetchAt is when parts are next requested in advance.
	prefetchAt time.Time
	// origin is the origin of the windows of all parts; it has to be earlier than their first use.
	origin time.Time
}

// Fleet describes the entry instances among which quotas are shared.
type Fleet struct {
	// Total is the number of entry instances, InRegion how many of them are in this one's region.
	Total    int
	InRegion int
	// Owns reports whether this instance holds the region's part of an organisation's quota.
	Owns func(organisation string) bool
}

// SetFleet adapts the parts to a changed set of entry instances.
func (h *Holder) SetFleet(f Fleet) {
	h.fleet = f
	for name, p := range h.parts {
		h.assign(name, p)
	}
}

// assign determines whether each instance holds its own part of an organisation's quota or one holds the whole
// region's, and whether this instance holds one.
func (h *Holder) assign(name string, p *part) {
	base := baseFraction * (p.rate*h.window.Seconds() + p.burst)
	instances := float64(max(1, h.fleet.Total))
	p.pooled = base < minDirectPart*instances
	p.owned = !p.pooled || h.fleet.Owns == nil || h.fleet.Owns(name)
	holders := instances
	if p.pooled {
		holders = instances / float64(max(1, h.fleet.InRegion))
	}
	p.evenShare = int64(evenFraction * base / holders)
}

// Pooled reports whether one instance holds the organisation's part for the whole region.
func (h *Holder) Pooled(organisation string) bool {
	p, ok := h.parts[organisation]
	return ok && p.pooled
}

// Update sets the organisations of a plan. Where a quota is lowered, this holder's part is lowered at once in
// proportion.
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

// Take counts a request of an organisation if its quota allows that. last is the previous verdict on the same request,
// zero if there was none.
func (h *Holder) Take(now time.Time, organisation string, last Verdict) Verdict {
	p, ok := h.parts[organisation]
	if !ok {
		return Verdict{Outcome: Granted}
	}
	out := Verdict{Held: p.held, Used: p.used.Used(now), RenewedAt: h.renewedAt}
	switch {
	case !h.valid(now):
		out.Outcome, out.RetryAt = Unknown, now.Add(unknownRetry)
	case p.used.Take(now, p.held, 1):
		out.CountedAt = now
		return out
	case now.Before(p.exhaustedUntil):
		out.Outcome, out.RetryAt = Exceeded, p.retryAt(now)
		return out
	default:
		out.Outcome = Lacking
	}
	out.requestedIn = last.requestedIn
	if last.requestedIn <= h.sequence {
		p.wanted++
		out.requestedIn = h.sequence + 1
	}
	return out
}

// Return reverts the count of a request that has not run.
func (h *Holder) Return(now time.Time, organisation string, v Verdict) {
	if p, ok := h.parts[organisation]; ok && !v.CountedAt.IsZero() {
		p.used.Return(now, v.CountedAt, 1)
	}
}

// valid reports whether the lease of the parts is valid. The monotonic clock does not count the time in which the
// process was suspended, and the wall clock may be set back, so both are checked.
func (h *Holder) valid(now time.Time) bool {
	return !h.renewedAt.IsZero() && now.Sub(h.renewedAt) < h.lease && now.Round(0).Sub(h.renewedAt.Round(0)) < h.lease
}

// HasPending reports whether requests wait for larger parts.
func (h *Holder) HasPending() bool {
	for _, p := range h.parts {
		if p.wanted > 0 {
			return true
		}
	}
	return false
}

// Request gives back what is not needed and returns the next request. Only one request may be in flight.
func (h *Holder) Request(now time.Time) *wire.AllotRequest {
	if !h.valid(now) {
		h.expire()
	}
	prefetchDue := !now.Before(h.prefetchAt)
	if prefetchDue {
		h.prefetchAt = now.Add(renewInterval)
	}
	h.sequence++
	out := &wire.AllotRequest{
		Holder: h.Self, Sequence: h.sequence, Term: h.term, Whole: h.fullReport, Age: int64(now.Sub(h.Started)),
	}
	for name, p := range h.parts {
		used := p.used.Used(now)
		p.releaseIdle(used)
		prefetch := int64(0)
		if prefetchDue {
			prefetch = p.prefetch(used)
		}
		if p.dirty || p.wanted > 0 || prefetch > 0 || h.fullReport && p.held+used > 0 {
			p.reportedIn, p.reportedUse = h.sequence, used
			out.Parts = append(out.Parts, &wire.Part{
				Organisation: name, Held: p.held, Used: used, Wanted: p.wanted, Ahead: prefetch,
			})
			p.wanted = 0
		}
	}
	return out
}

// expire gives up all parts: they may have been allotted to others meanwhile.
func (h *Holder) expire() {
	h.fullReport = true
	for _, p := range h.parts {
		p.held, p.dirty = 0, true
	}
}

// Accept applies the answer to the last request, which was sent at the given time. It ignores answers of earlier terms.
func (h *Holder) Accept(now, sent time.Time, r *wire.AllotResponse) {
	if r.GetTerm() < h.term {
		return
	}
	h.term, h.fullReport = r.GetTerm(), r.GetWhole()
	if r.GetWhole() {
		return
	}
	h.renewedAt, h.lease = sent, time.Duration(r.GetLease())
	h.setWindow(time.Duration(r.GetWindow()))
	for _, a := range r.GetAllotments() {
		p, ok := h.parts[a.GetOrganisation()]
		if !ok {
			continue
		}
		p.tight = a.GetTight()
		if p.reportedIn == h.sequence {
			// The allotter counts use beyond the part as held until a report shows that it has left the window.
			p.held, p.dirty = a.GetHeld(), p.reportedUse > a.GetHeld()
		}
		if a.GetShort() {
			p.exhaustedUntil, p.availableAt = now.Add(time.Duration(a.GetRetry())), now.Add(time.Duration(a.GetRoom()))
		}
	}
}

// setWindow sets the span over which requests are counted.
func (h *Holder) setWindow(window time.Duration) {
	if window == h.window {
		return
	}
	h.window = window
	for name, p := range h.parts {
		p.used = limiter.Window{Origin: h.origin, Length: window}
		h.assign(name, p)
	}
}

// RenewalDue reports whether a request should be sent although none is waiting for one: the parts have to be renewed,
// or unused parts given back.
func (h *Holder) RenewalDue(now time.Time) bool {
	age := now.Sub(h.renewedAt)
	if len(h.parts) == 0 || age < returnInterval {
		return false
	}
	if age >= renewInterval {
		return true
	}
	for _, p := range h.parts {
		if used := p.used.Used(now); (p.tight || !p.owned) && p.held > used || p.dirty && p.reportedUse > used {
			return true
		}
	}
	return false
}

// Limited reports whether an organisation has a quota.
func (h *Holder) Limited(organisation string) bool { return h.parts[organisation] != nil }

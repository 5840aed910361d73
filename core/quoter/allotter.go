package quoter

import (
	"time"

	"chervilrail.example/core/wire"
)

const (
	// baseFraction is the part of a quota that all holders together hold at most, unless the organisation is stretched. A new
	// leader gives out the rest before it has heard all holders, which takes a window where all of them have restarted.
	baseFraction = 2.0 / 3
	// prefetchFraction is the part of the usual part up to which parts are given ahead of need, tightPart the one from which on
	// holders give back what they do not use.
	prefetchFraction = 0.8
	tightFraction    = 0.92
	// unreportedRetry is after what a holder asks again while other holders are not known yet: they report within a few calls.
	unreportedRetry = 150 * time.Millisecond
	// shortRetryDivisor is the part of a window after which a holder that got too little asks again: a tenth.
	shortRetryDivisor = 10
)

// holderID names one run of an entry instance.
type holderID struct {
	name        string
	incarnation uint64
}

// Allotter is the giving side, owned by the leading controller. Set the exported fields before use.
type Allotter struct {
	Tolerance
	// Term is that of the leader, Since when it was elected.
	Term      uint64
	ElectedAt time.Time
	// Lease is how long parts hold, counted by the holder from when it asked.
	Lease time.Duration
	// Holdoff is how long nothing is allotted after the process stood still: another leader makes itself known by then.
	Holdoff time.Duration

	quotas map[string]*quota
	listed map[holderID]*holderState
	latest map[string]holderID
	// unreported holds, by listed holders that have not reported to this leader, until when they may hold anything.
	unreported map[holderID]time.Time
	// stretched are the organisations whose parts may add up to the whole quota. Those that this leader stretched first, fresh,
	// may get the rest beyond the usual part also while some holders are unknown.
	stretched       map[string]bool
	stretchedInTerm map[string]bool
	// toStretch and relaxing are those for which that is to begin or to end.
	toStretch    map[string]bool
	toRelax      map[string]bool
	refreshedAt  time.Time
	expireAt     time.Time
	holdoffUntil time.Time
}

type quota struct {
	limit int64
	// allotted is what all holders may let through, as far as they are known.
	allotted int64
	// allottedBeforeReports is what was allottedBeforeReports out while some holders were unknown.
	allottedBeforeReports int64
}

// base is what holders may hold together while the organisation is not stretched.
func (q *quota) base() int64 { return int64(baseFraction * float64(q.limit)) }

type holderState struct {
	sequence uint64
	// until is when nothing given to the holder can be in use any more, zero before its first report.
	until time.Time
	parts map[string]int64
	// superseded: another run of its name is listed. over: nothing can be in use any more.
	superseded bool
	expired    bool
}

// Update takes the organisations of the plan in force, the listed holders, oldest first, and the stretched organisations.
func (a *Allotter) Update(plan *wire.Plan, holders []*wire.QuotaHolder, stretched []string) {
	if a.listed == nil {
		a.listed, a.unreported = map[holderID]*holderState{}, map[holderID]time.Time{}
		a.stretchedInTerm, a.toStretch, a.toRelax = map[string]bool{}, map[string]bool{}, map[string]bool{}
	}
	a.updateQuotas(plan)
	a.stretched = map[string]bool{}
	for _, name := range stretched {
		a.stretched[name] = true
	}
	a.latest = map[string]holderID{}
	present := map[holderID]bool{}
	for _, h := range holders {
		who := holderID{h.GetName(), h.GetIncarnation()}
		a.latest[who.name] = who
		present[who] = true
	}
	for who := range present {
		if _, ok := a.listed[who]; !ok {
			a.listed[who] = &holderState{parts: map[string]int64{}}
			a.unreported[who] = a.inUseUntil(a.ElectedAt)
		}
	}
	for who, h := range a.listed {
		if !present[who] {
			a.release(h)
			delete(a.listed, who)
			delete(a.unreported, who)
		}
	}
}

func (a *Allotter) updateQuotas(plan *wire.Plan) {
	next := map[string]*quota{}
	for _, o := range plan.GetOrganisations() {
		limit, limited := a.limit(o)
		if !limited {
			continue
		}
		q := &quota{limit: limit}
		if old, ok := a.quotas[o.GetName()]; ok {
			q.allotted, q.allottedBeforeReports = old.allotted, old.allottedBeforeReports
		}
		next[o.GetName()] = q
	}
	for _, h := range a.listed {
		for name := range h.parts {
			if next[name] == nil {
				delete(h.parts, name)
			}
		}
	}
	a.quotas = next
}

func (a *Allotter) release(h *holderState) {
	for name := range h.parts {
		a.setPart(h, name, 0)
	}
}

func (a *Allotter) setPart(h *holderState, name string, part int64) {
	a.quotas[name].allotted += part - h.parts[name]
	h.parts[name] = part
	if part == 0 {
		delete(h.parts, name)
	}
}

// Allot answers one request of a holder.
func (a *Allotter) Allot(now time.Time, r *wire.AllotRequest) (*wire.AllotResponse, error) {
	a.refresh(now)
	if now.Before(a.holdoffUntil) {
		return nil, &SuspendedError{}
	}
	who := holderID{r.GetHolder().GetName(), r.GetHolder().GetIncarnation()}
	h, ok := a.listed[who]
	// One whose parts have ended is about to be taken off the list, so nothing more may be given to it before.
	if !ok || h.expired || a.latest[who.name] != who {
		return nil, &UnlistedError{who.name}
	}
	if r.GetSequence() <= h.sequence {
		// A late request reports parts that have changed since; believing it could count too little.
		return nil, &SequenceError{Holder: who.name, Got: r.GetSequence(), Last: h.sequence}
	}
	h.sequence = r.GetSequence()
	out := &wire.AllotResponse{Term: a.Term, Lease: int64(a.Lease), Window: int64(a.Window)}
	if !r.GetWhole() && (r.GetTerm() != a.Term || h.until.IsZero()) {
		out.Whole = true
		return out, nil
	}
	if h.until.IsZero() {
		a.expireEarlierRuns(now, who, time.Duration(r.GetAge()))
	}
	h.until = a.inUseUntil(now)
	a.recordReport(h, r)
	delete(a.unreported, who)
	for _, p := range r.GetParts() {
		if q, ok := a.quotas[p.GetOrganisation()]; ok {
			out.Allotments = append(out.Allotments, a.allotPart(now, h, q, p))
		}
	}
	a.appendTight(h, r, out)
	return out, nil
}

// recordReport takes the holder's word for what it holds: it ignores every answer to an earlier request, so that no larger part
// can come into use after this report.
func (a *Allotter) recordReport(h *holderState, r *wire.AllotRequest) {
	if r.GetWhole() {
		a.release(h)
	}
	for _, p := range r.GetParts() {
		if a.quotas[p.GetOrganisation()] != nil {
			a.setPart(h, p.GetOrganisation(), max(0, p.GetHeld(), p.GetUsed()))
		}
	}
}

// allotPart adds to a holder's part what it wants, as far as that is free.
func (a *Allotter) allotPart(now time.Time, h *holderState, q *quota, p *wire.Part) *wire.Allotment {
	name := p.GetOrganisation()
	available, wanted := a.available(name, q), max(0, p.GetWanted())
	given := min(available, wanted)
	if room := int64(prefetchFraction*float64(q.base())) - q.allotted - given; room > 0 && len(a.unreported) == 0 {
		given += min(room, available-given, max(0, p.GetAhead()))
	}
	held := max(0, p.GetHeld()) + given
	if given > 0 {
		a.setPart(h, name, max(held, h.parts[name]))
	}
	if len(a.unreported) > 0 {
		q.allottedBeforeReports += given
	}
	out := &wire.Allotment{Organisation: name, Held: held, Tight: a.tight(q)}
	if given < wanted && a.isStretched(name) {
		out.Short, out.Retry, out.Room = true, int64(a.Window/shortRetryDivisor), int64(a.unreportedWait(now))
		if len(a.unreported) > 0 {
			out.Retry = int64(unreportedRetry)
		}
	} else if given < wanted {
		a.toStretch[name] = true
	}
	return out
}

// available is how much more of a quota may be given out now.
func (a *Allotter) available(name string, q *quota) int64 {
	switch {
	case len(a.unreported) > 0 && !a.stretchedInTerm[name]:
		return 0
	case len(a.unreported) > 0:
		// Whatever the unknown ones hold, with what the known ones had it is the usual part at most.
		return max(0, q.limit-q.base()-q.allottedBeforeReports)
	case a.isStretched(name):
		return max(0, q.limit-q.allotted)
	}
	return max(0, q.base()-q.allotted)
}

func (a *Allotter) tight(q *quota) bool {
	return float64(q.allotted) > tightFraction*float64(q.base())
}

// appendTight tells a holder of its parts of tight quotas that it did not mention.
func (a *Allotter) appendTight(h *holderState, r *wire.AllotRequest, out *wire.AllotResponse) {
	mentioned := map[string]bool{}
	for _, p := range r.GetParts() {
		mentioned[p.GetOrganisation()] = true
	}
	for name, held := range h.parts {
		if q := a.quotas[name]; !mentioned[name] && a.tight(q) {
			out.Allotments = append(out.Allotments, &wire.Allotment{Organisation: name, Held: held, Tight: true})
		}
	}
}

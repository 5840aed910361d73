package quoter

import (
	"time"

	"chervilrail.example/core/wire"
)

const (
	// baseFraction is the fraction of a quota that the parts of all holders may add up to, unless the organisation is
	// stretched. The rest is what a new leader can allot before all holders have reported to it. If all of them have
	// restarted, that takes a window.
	baseFraction = 2.0 / 3
	// prefetchFraction is the fraction of the base amount up to which parts are allotted in advance. Above
	// tightFraction, holders give back what they do not use.
	prefetchFraction = 0.8
	tightFraction    = 0.92
	// unreportedRetry is the retry delay for holders while others have not reported yet: they report within a few
	// calls.
	unreportedRetry = 150 * time.Millisecond
	// shortRetryDivisor defines the retry delay for a holder that got too little: a tenth of a window.
	shortRetryDivisor = 10
)

// holderID identifies one run of an entry instance.
type holderID struct {
	name        string
	incarnation uint64
}

// Allotter allots parts of quotas to holders. It is owned by the leading controller. Set the exported fields before
// use.
type Allotter struct {
	Tolerance
	// Term is the leader's term, ElectedAt when it was elected.
	Term      uint64
	ElectedAt time.Time
	// Lease is how long parts are valid, counted by the holder from when it sent its request.
	Lease time.Duration
	// Holdoff is how long nothing is allotted after the process was suspended. If another leader was elected meanwhile,
	// this controller learns of it within that time.
	Holdoff time.Duration

	quotas map[string]*quota
	// listed are the runs of entry instances that are listed as holders, latest the last listed run of each instance.
	listed map[holderID]*holderState
	latest map[string]holderID
	// unreported are the listed holders that have not reported to this leader, with the time until which they may hold
	// parts of any size.
	unreported map[holderID]time.Time
	// stretched are the organisations whose parts may add up to the whole quota. Those that were stretched by this
	// leader (stretchedInTerm) may be allotted the rest beyond the base amount while some holders are unreported.
	stretched       map[string]bool
	stretchedInTerm map[string]bool
	// toStretch and toRelax are the organisations to begin or stop stretching.
	toStretch map[string]bool
	toRelax   map[string]bool
	// refreshedAt is when refresh last ran, expireAt when it next looks for expired holders. Until holdoffUntil nothing
	// is allotted.
	refreshedAt  time.Time
	expireAt     time.Time
	holdoffUntil time.Time
}

type quota struct {
	limit int64
	// allotted is the sum of the parts of all holders that have reported.
	allotted int64
	// allottedBeforeReports is what was allotted while some holders were unreported.
	allottedBeforeReports int64
}

// base is the sum of parts allowed while the organisation is not stretched.
func (q *quota) base() int64 { return int64(baseFraction * float64(q.limit)) }

// holderState is what the allotter knows of one holder.
type holderState struct {
	sequence uint64
	// until is when no part of the holder can be in use any more, zero before its first report.
	until time.Time
	parts map[string]int64
	// superseded is set once a later run of the same instance is listed, expired once no part can be in use any more.
	superseded bool
	expired    bool
}

// Update sets the plan in force with its organisations, the listed holders, oldest first, and the stretched
// organisations.
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
		id := holderID{h.GetName(), h.GetIncarnation()}
		a.latest[id.name] = id
		present[id] = true
	}
	for id := range present {
		if _, ok := a.listed[id]; !ok {
			a.listed[id] = &holderState{parts: map[string]int64{}}
			a.unreported[id] = a.inUseUntil(a.ElectedAt)
		}
	}
	for id, h := range a.listed {
		if !present[id] {
			a.release(h)
			delete(a.listed, id)
			delete(a.unreported, id)
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

// Allot answers a request of a holder. It returns a SuspendedError after the process was suspended, an UnlistedError if
// the holder is not listed or was superseded, and a SequenceError if a later request was answered already.
func (a *Allotter) Allot(now time.Time, r *wire.AllotRequest) (*wire.AllotResponse, error) {
	a.refresh(now)
	if now.Before(a.holdoffUntil) {
		return nil, &SuspendedError{}
	}
	id := holderID{r.GetHolder().GetName(), r.GetHolder().GetIncarnation()}
	h, ok := a.listed[id]
	// An expired holder is about to be removed from the list, so it must not be allotted anything more.
	if !ok || h.expired || a.latest[id.name] != id {
		return nil, &UnlistedError{id.name}
	}
	if r.GetSequence() <= h.sequence {
		// A late request reports parts that have changed since; using it could count too little.
		return nil, &SequenceError{Holder: id.name, Got: r.GetSequence(), Last: h.sequence}
	}
	h.sequence = r.GetSequence()
	out := &wire.AllotResponse{Term: a.Term, Lease: int64(a.Lease), Window: int64(a.Window)}
	if !r.GetWhole() && (r.GetTerm() != a.Term || h.until.IsZero()) {
		out.Whole = true
		return out, nil
	}
	if h.until.IsZero() {
		a.expireEarlierRuns(now, id, time.Duration(r.GetAge()))
	}
	h.until = a.inUseUntil(now)
	a.recordReport(h, r)
	delete(a.unreported, id)
	for _, p := range r.GetParts() {
		if q, ok := a.quotas[p.GetOrganisation()]; ok {
			out.Allotments = append(out.Allotments, a.allotPart(now, h, q, p))
		}
	}
	a.appendTight(h, r, out)
	return out, nil
}

// recordReport replaces the known parts by those that the holder reports. The holder ignores answers to earlier
// requests, so no larger part can come into use after this report.
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

// allotPart adds to a holder's part what it wants, as far as that is available.
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

// available returns how much more of a quota may be allotted now.
func (a *Allotter) available(name string, q *quota) int64 {
	switch {
	case len(a.unreported) > 0 && !a.stretchedInTerm[name]:
		return 0
	case len(a.unreported) > 0:
		// What the unreported holders still hold, and what the others held before they reported, adds up to the base
		// amount at most.
		return max(0, q.limit-q.base()-q.allottedBeforeReports)
	case a.isStretched(name):
		return max(0, q.limit-q.allotted)
	}
	return max(0, q.base()-q.allotted)
}

// tight reports whether so much of a quota is allotted that holders have to give back what they do not use.
func (a *Allotter) tight(q *quota) bool {
	return float64(q.allotted) > tightFraction*float64(q.base())
}

// appendTight adds the holder's parts of tight quotas that its request did not mention, so that it gives back what it
// does not use.
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

package quoter

import (
	"time"

	"chervilrail.example/core/wire"
)

const (
	// tightParts: a quota is tight while less than an eighth of it is free. Holders then give back what they do not use.
	tightParts = 8
	// aheadParts: parts are given ahead of need while more than a quarter of a quota is free.
	aheadParts = 4
	// shortParts is the part of a window after which a holder that got too little asks again: a tenth.
	shortParts = 10
	// stood is how far the time of day may run ahead of the steady clock between two looks; more shows that the process
	// stood still.
	stood = 200 * time.Millisecond
	// endEvery is how often holders that are gone are looked for.
	endEvery = 100 * time.Millisecond
)

// id names one run of an entry instance.
type id struct {
	name        string
	incarnation uint64
}

// Allotter is the giving side, owned by the leading controller. Set the exported fields before use.
type Allotter struct {
	Terms
	// Term is that of the leader, Since when it was elected.
	Term  uint64
	Since time.Time
	// Lease is how long parts hold, counted by the holder from when it asked.
	Lease time.Duration
	// Distrust is how long nothing is allotted after the process stood still: another leader makes itself known by then.
	Distrust time.Duration

	quotas map[string]*quota
	listed map[id]*holder
	latest map[string]id
	// unknown holds, by listed holders that have not reported to this leader, until when they may hold anything.
	unknown    map[id]time.Time
	lookedAt   time.Time
	endAt      time.Time
	distrusted time.Time
}

type quota struct {
	limit int64
	// sum is what all holders may let through.
	sum int64
}

type holder struct {
	sequence uint64
	// until is when nothing given to the holder can be in use any more, zero before its first report.
	until time.Time
	parts map[string]int64
	// followed: another run of its name is listed. over: nothing can be in use any more.
	followed bool
	over     bool
}

// Follow takes the organisations of the plan in force and the listed holders, oldest first.
func (a *Allotter) Follow(plan *wire.Plan, holders []*wire.QuotaHolder) {
	a.followQuotas(plan)
	if a.listed == nil {
		a.listed, a.unknown = map[id]*holder{}, map[id]time.Time{}
	}
	a.latest = map[string]id{}
	present := map[id]bool{}
	for _, h := range holders {
		who := id{h.GetName(), h.GetIncarnation()}
		a.latest[who.name] = who
		present[who] = true
	}
	for who := range present {
		if _, ok := a.listed[who]; !ok {
			a.listed[who] = &holder{parts: map[string]int64{}}
			a.unknown[who] = a.mayHold(a.Since)
		}
	}
	for who, h := range a.listed {
		if !present[who] {
			a.drop(h)
			delete(a.listed, who)
			delete(a.unknown, who)
		}
	}
}

// mayHold is until when parts may be in use that were renewed at a time.
func (a *Allotter) mayHold(at time.Time) time.Time {
	return at.Add(a.Lease + a.Lease/driftParts + a.outlast())
}

// outlast is how long what a holder let through counts after its end.
func (a *Allotter) outlast() time.Duration { return a.Window + a.Window/driftParts }

func (a *Allotter) followQuotas(plan *wire.Plan) {
	next := map[string]*quota{}
	for _, o := range plan.GetOrganisations() {
		limit, limited := a.limit(o)
		if !limited {
			continue
		}
		q := &quota{limit: limit}
		if old, ok := a.quotas[o.GetName()]; ok {
			q.sum = old.sum
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

func (a *Allotter) drop(h *holder) {
	for name := range h.parts {
		a.set(h, name, 0)
	}
}

func (a *Allotter) set(h *holder, name string, part int64) {
	a.quotas[name].sum += part - h.parts[name]
	h.parts[name] = part
	if part == 0 {
		delete(h.parts, name)
	}
}

// New tells that a holder was listed by this leader: nobody else can have given it any part.
func (a *Allotter) New(h *wire.QuotaHolder) { delete(a.unknown, id{h.GetName(), h.GetIncarnation()}) }

// Gone returns listed holders that another run of their name has followed, or that were not heard for long, and that hold
// nothing any more.
func (a *Allotter) Gone(now time.Time) []*wire.QuotaHolder {
	a.look(now)
	var out []*wire.QuotaHolder
	for who, h := range a.listed {
		if h.over {
			out = append(out, &wire.QuotaHolder{Name: who.name, Incarnation: who.incarnation})
		}
	}
	return out
}

// look notices that the process stood still, and ends the parts that can't be in use any more.
func (a *Allotter) look(now time.Time) {
	if !a.lookedAt.IsZero() {
		a.compare(now, now.Sub(a.lookedAt), now.Round(0).Sub(a.lookedAt.Round(0)))
	}
	a.lookedAt = now
	if now.Before(a.endAt) {
		return
	}
	a.endAt = now.Add(endEvery)
	for who, h := range a.listed {
		if until := a.heldUntil(now, who, h); !until.IsZero() && !now.Before(until) {
			a.drop(h)
			h.over = true
			delete(a.unknown, who)
		}
	}
}

// compare notices a process that stood still: its steady clock did, too, and the time of day went on.
func (a *Allotter) compare(now time.Time, steady, day time.Duration) {
	if day-steady > stood {
		a.distrusted = now.Add(a.Distrust)
	}
}

// heldUntil is until when a holder's parts may be in use, zero if it was listed and has not reported yet. One that another
// run of its name has followed uses them no more, and what it let through leaves the window.
func (a *Allotter) heldUntil(now time.Time, who id, h *holder) time.Time {
	until, unknown := a.unknown[who]
	if !unknown {
		until = h.until
	}
	if a.latest[who.name] == who || h.followed {
		return until
	}
	h.followed = true
	if ended := now.Add(a.outlast()); until.IsZero() || ended.Before(until) {
		until = ended
	}
	h.until = until
	if unknown {
		a.unknown[who] = until
	}
	return until
}

// Allot answers one request of a holder.
func (a *Allotter) Allot(now time.Time, r *wire.AllotRequest) (*wire.AllotResponse, error) {
	a.look(now)
	if now.Before(a.distrusted) {
		return nil, &SuspendedError{}
	}
	who := id{r.GetHolder().GetName(), r.GetHolder().GetIncarnation()}
	h, ok := a.listed[who]
	// One whose parts have ended is about to be taken off the list, so nothing more may be given to it before.
	if !ok || h.over || a.latest[who.name] != who {
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
	h.until, h.over = a.mayHold(now), false
	a.note(h, r)
	delete(a.unknown, who)
	for _, p := range r.GetParts() {
		if q, ok := a.quotas[p.GetOrganisation()]; ok {
			out.Allotments = append(out.Allotments, a.give(h, q, p))
		}
	}
	a.callBack(h, r, out)
	return out, nil
}

// note takes the holder's word for what it holds: it ignores every answer to an earlier request, so that no larger part
// can come into use after this report.
func (a *Allotter) note(h *holder, r *wire.AllotRequest) {
	if r.GetWhole() {
		a.drop(h)
	}
	for _, p := range r.GetParts() {
		if a.quotas[p.GetOrganisation()] != nil {
			a.set(h, p.GetOrganisation(), max(0, p.GetHeld(), p.GetUsed()))
		}
	}
}

// give adds to a holder's part what it wants, as far as that is free.
func (a *Allotter) give(h *holder, q *quota, p *wire.Part) *wire.Allotment {
	free := max(0, q.limit-q.sum)
	if len(a.unknown) > 0 {
		free = 0
	}
	wanted := max(0, p.GetWanted())
	given := min(free, wanted)
	if ahead := max(0, p.GetAhead()); free-given > q.limit/aheadParts {
		given += min(free-given-q.limit/aheadParts, ahead)
	}
	name := p.GetOrganisation()
	held := max(0, p.GetHeld())
	if given > 0 {
		held += given
		a.set(h, name, max(held, h.parts[name]))
	}
	out := &wire.Allotment{Organisation: name, Held: held, Tight: a.tight(q)}
	if given < wanted {
		out.Short, out.Retry = true, int64(a.Window/shortParts)
	}
	return out
}

func (a *Allotter) tight(q *quota) bool { return q.limit-q.sum < max(1, q.limit/tightParts) }

// callBack tells a holder of its parts of tight quotas that it did not mention.
func (a *Allotter) callBack(h *holder, r *wire.AllotRequest, out *wire.AllotResponse) {
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

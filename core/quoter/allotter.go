package quoter

import (
	"time"

	"chervilrail.example/core/wire"
)

const (
	// usualPart is the part of a quota that all holders together hold at most, unless the organisation is stretched. A new
	// leader gives out the rest before it has heard all holders, which takes a window where all of them have restarted.
	usualPart = 2.0 / 3
	// aheadPart is the part of the usual part up to which parts are given ahead of need, tightPart the one from which on
	// holders give back what they do not use.
	aheadPart = 0.8
	tightPart = 0.92
	// soonRetry is after what a holder asks again while other holders are not known yet: they report within a few calls.
	soonRetry = 150 * time.Millisecond
	// shortParts is the part of a window after which a holder that got too little asks again: a tenth.
	shortParts = 10
)

// id names one run of an entry instance.
type id struct {
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
	listed map[id]*holder
	latest map[string]id
	// unknown holds, by listed holders that have not reported to this leader, until when they may hold anything.
	unknown map[id]time.Time
	// stretched are the organisations whose parts may add up to the whole quota. Those that this leader stretched first, fresh,
	// may get the rest beyond the usual part also while some holders are unknown.
	stretched map[string]bool
	fresh     map[string]bool
	// stretching and relaxing are those for which that is to begin or to end.
	stretching map[string]bool
	relaxing   map[string]bool
	lookedAt   time.Time
	endAt      time.Time
	distrusted time.Time
}

type quota struct {
	limit int64
	// sum is what all holders may let through, as far as they are known.
	sum int64
	// given is what was given out while some holders were unknown.
	given int64
}

// usual is what holders may hold together while the organisation is not stretched.
func (q *quota) usual() int64 { return int64(usualPart * float64(q.limit)) }

type holder struct {
	sequence uint64
	// until is when nothing given to the holder can be in use any more, zero before its first report.
	until time.Time
	parts map[string]int64
	// followed: another run of its name is listed. over: nothing can be in use any more.
	followed bool
	over     bool
}

// Update takes the organisations of the plan in force, the listed holders, oldest first, and the stretched organisations.
func (a *Allotter) Update(plan *wire.Plan, holders []*wire.QuotaHolder, stretched []string) {
	if a.listed == nil {
		a.listed, a.unknown = map[id]*holder{}, map[id]time.Time{}
		a.fresh, a.stretching, a.relaxing = map[string]bool{}, map[string]bool{}, map[string]bool{}
	}
	a.followQuotas(plan)
	a.stretched = map[string]bool{}
	for _, name := range stretched {
		a.stretched[name] = true
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
			a.unknown[who] = a.mayHold(a.ElectedAt)
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

func (a *Allotter) followQuotas(plan *wire.Plan) {
	next := map[string]*quota{}
	for _, o := range plan.GetOrganisations() {
		limit, limited := a.limit(o)
		if !limited {
			continue
		}
		q := &quota{limit: limit}
		if old, ok := a.quotas[o.GetName()]; ok {
			q.sum, q.given = old.sum, old.given
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
	if h.until.IsZero() {
		a.outrun(now, who, time.Duration(r.GetAge()))
	}
	h.until = a.mayHold(now)
	a.note(h, r)
	delete(a.unknown, who)
	for _, p := range r.GetParts() {
		if q, ok := a.quotas[p.GetOrganisation()]; ok {
			out.Allotments = append(out.Allotments, a.give(now, h, q, p))
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
func (a *Allotter) give(now time.Time, h *holder, q *quota, p *wire.Part) *wire.Allotment {
	name := p.GetOrganisation()
	free, wanted := a.free(name, q), max(0, p.GetWanted())
	given := min(free, wanted)
	if room := int64(aheadPart*float64(q.usual())) - q.sum - given; room > 0 && len(a.unknown) == 0 {
		given += min(room, free-given, max(0, p.GetAhead()))
	}
	held := max(0, p.GetHeld()) + given
	if given > 0 {
		a.set(h, name, max(held, h.parts[name]))
	}
	if len(a.unknown) > 0 {
		q.given += given
	}
	out := &wire.Allotment{Organisation: name, Held: held, Tight: a.tight(q)}
	if given < wanted && a.whole(name) {
		out.Short, out.Retry, out.Room = true, int64(a.Window/shortParts), int64(a.awaits(now))
		if len(a.unknown) > 0 {
			out.Retry = int64(soonRetry)
		}
	} else if given < wanted {
		a.stretching[name] = true
	}
	return out
}

// free is how much more of a quota may be given out now.
func (a *Allotter) free(name string, q *quota) int64 {
	switch {
	case len(a.unknown) > 0 && !a.fresh[name]:
		return 0
	case len(a.unknown) > 0:
		// Whatever the unknown ones hold, with what the known ones had it is the usual part at most.
		return max(0, q.limit-q.usual()-q.given)
	case a.whole(name):
		return max(0, q.limit-q.sum)
	}
	return max(0, q.usual()-q.sum)
}

func (a *Allotter) tight(q *quota) bool { return float64(q.sum) > tightPart*float64(q.usual()) }

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

package quoter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/keeper"
	"chervilrail.example/core/wire"
)

const (
	// testLease is the lease of parts in tests, trip the way to the leader and back.
	testLease = 20 * time.Second
	trip      = 80 * time.Millisecond
	// waits is how long a request waits for a part.
	waits = 600 * time.Millisecond
)

// leased shares quotas by parts that a leader gives out on demand.
type leased struct {
	plan     *wire.Plan
	terms    Tolerance
	allotter *Allotter
	holders  []*seat
	listed   []*wire.QuotaHolder
	state    keeper.Keeper
	sent     int
	relaxAt  time.Time
	// down: no leader answers.
	down bool
	// lose tells whether a message is lost.
	lose func() bool
	// regions is in how many regions the instances are, 0 where each holds its own part of everything.
	regions int
}

// pool makes one instance of each region hold the region's parts of small quotas.
func (l *leased) pool(regions int) *leased {
	l.regions = regions
	for i, s := range l.holders {
		s.holder.Share(l.fleet(i))
	}
	return l
}

func (l *leased) fleet(instance int) Fleet {
	return Fleet{
		All: len(l.holders), Near: len(l.holders) / l.regions,
		Owns: func(organisation string) bool { return l.owner(instance, organisation) == instance },
	}
}

// owner is the instance of the same region that holds an organisation's part.
func (l *leased) owner(instance int, organisation string) int {
	near := len(l.holders) / l.regions
	return instance%l.regions + l.regions*int(xxhash.Sum64String(organisation)%uint64(near))
}

// seat is one entry instance with its call on the way.
type seat struct {
	holder  Holder
	waiting []waiter
	busy    bool
	sentAt  time.Time
	backAt  time.Time
	nextAt  time.Time
	request *wire.AllotRequest
	answer  *wire.AllotResponse
	cut     bool
}

type waiter struct {
	organisation int
	until        time.Time
	done         func(decided time.Time, granted bool)
	last         Verdict
}

func newLeased(now time.Time, terms Tolerance, instances int, organisations []*wire.Organisation) *leased {
	l := &leased{terms: terms, plan: &wire.Plan{Organisations: organisations}, lose: func() bool { return false }}
	for i := range instances {
		l.listed = append(l.listed, &wire.QuotaHolder{Name: organisationName(i), Incarnation: 1})
		s := &seat{holder: Holder{Self: l.listed[i], Started: now.Add(-time.Minute)}}
		s.holder.Update(now, l.plan)
		l.holders = append(l.holders, s)
	}
	l.elect(now, 1)
	return l
}

// elect makes a new leader that knows what is replicated and nothing else.
func (l *leased) elect(now time.Time, term uint64) {
	l.allotter = &Allotter{Tolerance: l.terms, Term: term, ElectedAt: now, Lease: testLease, Holdoff: time.Second}
	l.allotter.Update(l.plan, l.listed, l.state.Stretched())
}

func (l *leased) follow(now time.Time, plan *wire.Plan) {
	l.plan = plan
	l.allotter.Update(plan, l.listed, l.state.Stretched())
	for _, s := range l.holders {
		if !s.cut {
			s.holder.Update(now, plan)
		}
	}
}

// stretch replicates what the leader wants replicated.
func (l *leased) stretch(names []string, on bool) {
	if len(names) == 0 || l.down {
		return
	}
	change := &wire.StretchChange{Organisations: names, On: on}
	changed := l.state.Apply(&wire.Command{Stretch: change}).GetChanged()
	l.allotter.Update(l.plan, l.listed, l.state.Stretched())
	l.allotter.ApplyStretch(change, changed)
}

func organisationName(i int) string { return "e" + string(rune('a'+i%26)) + string(rune('a'+i/26)) }

func (l *leased) admit(now time.Time, instance, organisation int, done func(decided time.Time, granted bool)) {
	s := l.holders[instance]
	if name := l.plan.GetOrganisations()[organisation].GetName(); l.regions > 0 && s.holder.Pooled(name) {
		s = l.holders[l.owner(instance, name)]
	}
	switch v := s.holder.Take(now, l.plan.GetOrganisations()[organisation].GetName(), Verdict{}); v.Outcome {
	case Granted:
		done(now, true)
	case Exceeded:
		done(now, false)
	case Lacking, Unknown:
		s.waiting = append(s.waiting, waiter{organisation, now.Add(waits), done, v})
	}
}

func (l *leased) tick(now time.Time) {
	l.stretch(l.allotter.ToStretch(), true)
	if now.Sub(l.relaxAt) > time.Second {
		l.relaxAt = now
		l.stretch(l.allotter.ToRelax(), false)
	}
	for _, s := range l.holders {
		l.call(now, s)
		l.wake(now, s, false)
	}
}

func (l *leased) call(now time.Time, s *seat) {
	if s.busy && !now.Before(s.backAt) {
		s.busy = false
		if s.answer != nil && !s.cut && !l.lose() {
			s.holder.Answer(now, s.sentAt, s.answer)
			l.wake(now, s, true)
		}
	}
	if s.busy || now.Before(s.nextAt) || !s.holder.Wants() && !s.holder.Stale(now) {
		return
	}
	s.request, s.busy, s.sentAt, s.backAt = s.holder.Request(now), true, now, now.Add(trip)
	s.nextAt, s.answer = now.Add(trip), nil
	l.sent += proto.Size(s.request)
	if l.down || s.cut || l.lose() {
		s.backAt = now.Add(500 * time.Millisecond)
		return
	}
	s.answer, _ = l.allotter.Allot(now, s.request)
	if s.answer != nil {
		l.sent += proto.Size(s.answer)
	}
}

// wake lets waiting requests try again after an answer, and ends those that waited too long.
func (l *leased) wake(now time.Time, s *seat, answered bool) {
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		if answered {
			v := s.holder.Take(now, l.plan.GetOrganisations()[w.organisation].GetName(), w.last)
			w.last = v
			if v.Outcome == Granted || v.Outcome == Exceeded {
				w.done(now, v.Outcome == Granted)
				continue
			}
		}
		if !now.Before(w.until) {
			w.done(now, false)
			continue
		}
		s.waiting = append(s.waiting, w)
	}
}

func (l *leased) bytes() int { return l.sent }

// restart replaces a run of an entry instance by the next, which is listed behind it.
func (l *leased) restart(now time.Time, s *seat) {
	s.holder = Holder{Started: now, Self: &wire.QuotaHolder{
		Name: s.holder.Self.GetName(), Incarnation: s.holder.Self.GetIncarnation() + 1,
	}}
	s.holder.Update(now, l.plan)
	if l.regions > 0 {
		s.holder.Share(l.fleet(slices.Index(l.holders, s)))
	}
	s.busy, s.answer, s.waiting = false, nil, nil
	l.listed = append(l.listed, s.holder.Self)
	l.allotter.Update(l.plan, l.listed, l.state.Stretched())
	l.allotter.MarkNew(s.holder.Self)
}

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
	// testLease is the lease of parts in tests, roundTrip the time of a call to the leader.
	testLease = 20 * time.Second
	roundTrip = 80 * time.Millisecond
	// maxWait is how long a request waits for a part.
	maxWait = 600 * time.Millisecond
)

// leased is the strategy of this package: a leader allots parts on demand.
type leased struct {
	plan      *wire.Plan
	tolerance Tolerance
	allotter  *Allotter
	holders   []*simulatedInstance
	listed    []*wire.QuotaHolder
	state     keeper.Keeper
	sent      int
	relaxAt   time.Time
	// leaderDown is set while no leader answers.
	leaderDown bool
	// dropMessage reports whether a message is lost.
	dropMessage func() bool
	// regions is the number of regions of the instances, 0 if each instance holds its own part of every quota.
	regions int
}

// pool makes one instance of each region hold the region's parts of small quotas.
func (l *leased) pool(regions int) *leased {
	l.regions = regions
	for i, s := range l.holders {
		s.holder.SetFleet(l.fleet(i))
	}
	return l
}

func (l *leased) fleet(instance int) Fleet {
	return Fleet{
		Total: len(l.holders), InRegion: len(l.holders) / l.regions,
		Owns: func(organisation string) bool { return l.owner(instance, organisation) == instance },
	}
}

// owner returns the instance of the same region that holds an organisation's part.
func (l *leased) owner(instance int, organisation string) int {
	near := len(l.holders) / l.regions
	return instance%l.regions + l.regions*int(xxhash.Sum64String(organisation)%uint64(near))
}

// simulatedInstance is an entry instance with its call in flight.
type simulatedInstance struct {
	holder       Holder
	pending      []pendingRequest
	inFlight     bool
	sentAt       time.Time
	answerAt     time.Time
	nextCallAt   time.Time
	request      *wire.AllotRequest
	answer       *wire.AllotResponse
	disconnected bool
}

type pendingRequest struct {
	organisation int
	until        time.Time
	done         func(decided time.Time, granted bool)
	last         Verdict
}

func newLeased(now time.Time, tolerance Tolerance, instances int, organisations []*wire.Organisation) *leased {
	l := &leased{
		tolerance: tolerance, plan: &wire.Plan{Organisations: organisations}, dropMessage: func() bool { return false },
	}
	for i := range instances {
		l.listed = append(l.listed, &wire.QuotaHolder{Name: organisationName(i), Incarnation: 1})
		s := &simulatedInstance{holder: Holder{Self: l.listed[i], Started: now.Add(-time.Minute)}}
		s.holder.Update(now, l.plan)
		l.holders = append(l.holders, s)
	}
	l.elect(now, 1)
	return l
}

// elect replaces the leader by one that knows only the replicated state.
func (l *leased) elect(now time.Time, term uint64) {
	l.allotter = &Allotter{Tolerance: l.tolerance, Term: term, ElectedAt: now, Lease: testLease, Holdoff: time.Second}
	l.allotter.Update(l.plan, l.listed, l.state.Stretched())
}

func (l *leased) updatePlan(now time.Time, plan *wire.Plan) {
	l.plan = plan
	l.allotter.Update(plan, l.listed, l.state.Stretched())
	for _, s := range l.holders {
		if !s.disconnected {
			s.holder.Update(now, plan)
		}
	}
}

// stretch applies a change that the leader wants replicated.
func (l *leased) stretch(names []string, on bool) {
	if len(names) == 0 || l.leaderDown {
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
		s.pending = append(s.pending, pendingRequest{organisation, now.Add(maxWait), done, v})
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
		l.retryPending(now, s, false)
	}
}

func (l *leased) call(now time.Time, s *simulatedInstance) {
	if s.inFlight && !now.Before(s.answerAt) {
		s.inFlight = false
		if s.answer != nil && !s.disconnected && !l.dropMessage() {
			s.holder.Accept(now, s.sentAt, s.answer)
			l.retryPending(now, s, true)
		}
	}
	if s.inFlight || now.Before(s.nextCallAt) || !s.holder.HasPending() && !s.holder.RenewalDue(now) {
		return
	}
	s.request, s.inFlight, s.sentAt, s.answerAt = s.holder.Request(now), true, now, now.Add(roundTrip)
	s.nextCallAt, s.answer = now.Add(roundTrip), nil
	l.sent += proto.Size(s.request)
	if l.leaderDown || s.disconnected || l.dropMessage() {
		s.answerAt = now.Add(500 * time.Millisecond)
		return
	}
	s.answer, _ = l.allotter.Allot(now, s.request)
	if s.answer != nil {
		l.sent += proto.Size(s.answer)
	}
}

// retryPending retries pending requests after an answer, and refuses those that have waited too long.
func (l *leased) retryPending(now time.Time, s *simulatedInstance, answered bool) {
	pending := s.pending
	s.pending = nil
	for _, w := range pending {
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
		s.pending = append(s.pending, w)
	}
}

func (l *leased) bytes() int { return l.sent }

// restart replaces a run of an entry instance by a new one, which is listed after it.
func (l *leased) restart(now time.Time, s *simulatedInstance) {
	s.holder = Holder{Started: now, Self: &wire.QuotaHolder{
		Name: s.holder.Self.GetName(), Incarnation: s.holder.Self.GetIncarnation() + 1,
	}}
	s.holder.Update(now, l.plan)
	if l.regions > 0 {
		s.holder.SetFleet(l.fleet(slices.Index(l.holders, s)))
	}
	s.inFlight, s.answer, s.pending = false, nil, nil
	l.listed = append(l.listed, s.holder.Self)
	l.allotter.Update(l.plan, l.listed, l.state.Stretched())
	l.allotter.MarkNew(s.holder.Self)
}

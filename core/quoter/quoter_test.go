package quoter

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/limiter"
	"chervilrail.example/core/wire"
)

var (
	testTerms = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	begun     = time.Unix(1000, 0)
)

// report sums up a replay: refused, as a part of what quotas allowed, before and after a second, and the fullest window.
type report struct {
	before  float64
	after   float64
	most    float64
	served  float64
	perNode float64
}

func compare(w *world, seed uint64, turn int, length time.Duration, s sharing) report {
	var out report
	var asked, refused [2]float64
	allowed, granted := 0.0, 0.0
	for i, o := range w.play(seed, length, s) {
		out.most = max(out.most, o.most)
		owed := math.Min(float64(o.asked), w.organisations[i].GetRate()*length.Seconds()+w.organisations[i].GetBurst())
		allowed += owed
		granted += math.Min(float64(o.granted), owed)
		if float64(o.asked) > owed {
			continue
		}
		for second := 2; second < len(o.askedIn); second++ {
			part := 0
			if second >= turn {
				part = 1
			}
			asked[part] += float64(o.askedIn[second])
			refused[part] += float64(o.refused[second])
		}
	}
	out.before, out.after = refused[0]/max(1, asked[0]), refused[1]/max(1, asked[1])
	out.served = granted / allowed
	out.perNode = float64(s.bytes()) / float64(w.instances) / length.Seconds()
	return out
}

func ways(w *world) map[string]sharing {
	return map[string]sharing{
		"pooled":  newLeased(begun, w.terms, w.instances, w.organisations).pool(3),
		"leased":  newLeased(begun, w.terms, w.instances, w.organisations),
		"counted": newCounted(begun, w.terms, w.instances, w.organisations),
		"fixed":   newFixed(begun, w.terms, w.instances, w.organisations),
	}
}

// Guards against refusals of what quotas allow, and against more than they allow, where demand is calm, leaps, moves to a few
// instances, or is three times the quota.
func TestPooledPartsBeatOtherWays(t *testing.T) {
	for _, load := range spots() {
		t.Run(load.name, func(t *testing.T) {
			is := is.New(t)
			w := &world{
				terms: testTerms, instances: 84, organisations: skewed(88, 2000), demand: load.demand, where: load.where(84),
			}
			got := map[string]report{}
			for name, s := range ways(w) {
				got[name] = compare(w, 1, 9, 12*time.Second, s)
				t.Logf("%-8s refused %.4f, after the turn %.4f; fullest window %.2f; served of owed %.3f; %.0f bytes/s",
					name, got[name].before, got[name].after, got[name].most, got[name].served, got[name].perNode)
			}
			is.True(got["pooled"].most <= 1)
			is.True(got["pooled"].before < 0.001)
			is.True(got["pooled"].after < 0.02)
			is.True(got["pooled"].served > 0.98)
		})
	}
}

// Guards against a way to share that holds for one size only.
func TestPooledPartsAtSizes(t *testing.T) {
	for _, size := range []struct{ instances, organisations int }{{12, 88}, {186, 88}, {300, 300}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			w := &world{
				terms: testTerms, instances: size.instances, organisations: skewed(size.organisations, 24*float64(size.instances)),
				demand: func(time.Duration, int) float64 { return calm }, where: anywhere(size.instances), step: 10 * time.Millisecond,
			}
			got := compare(w, 2, 9, 8*time.Second, newLeased(begun, w.terms, w.instances, w.organisations).pool(3))
			t.Logf("refused %.4f, fullest window %.2f, %.0f bytes/s", got.before, got.most, got.perNode)
			is.True(got.before < 0.001)
			is.True(got.most <= 1)
		})
	}
}

// Guards against a leader that gives out again what the former one gave, and against requests that are refused for long while
// the new one does not know yet.
func TestANewLeaderKnowsWhatIsHeld(t *testing.T) {
	is := is.New(t)
	w := &world{
		terms: testTerms, instances: 84, organisations: skewed(88, 2000),
		demand: func(_ time.Duration, organisation int) float64 { return []float64{3, calm}[min(1, organisation%4)] },
		where:  anywhere(84),
	}
	l := newLeased(begun, w.terms, w.instances, w.organisations).pool(3)
	term := uint64(1)
	w.each = func(now time.Time, at time.Duration) {
		l.down = at > 5*time.Second && at < 7*time.Second
		if at == 7*time.Second || at == 9*time.Second {
			term++
			l.elect(now, term)
		}
	}
	got := compare(w, 3, 8, 14*time.Second, l)
	t.Logf("refused %.4f, after %.4f, fullest window %.2f", got.before, got.after, got.most)
	is.True(got.most <= 1)
	is.True(got.after < 0.02)
}

// Guards against entry instances that hold so little when traffic begins that a leader's loss then stops most requests.
func TestTheLeaderIsLostWhileTrafficBegins(t *testing.T) {
	is := is.New(t)
	w := &world{
		terms: testTerms, instances: 84, organisations: skewed(88, 2000), where: anywhere(84),
		demand: func(at time.Duration, _ int) float64 {
			if at < 5*time.Second {
				return 0
			}
			return calm
		},
	}
	l := newLeased(begun, w.terms, w.instances, w.organisations).pool(3)
	w.each = func(now time.Time, at time.Duration) {
		l.down = at > 7*time.Second && at < 9*time.Second
		if at == 9*time.Second {
			l.elect(now, 2)
		}
	}
	tallies := w.play(7, 12*time.Second, l)
	asked, refused, late := 0, 0, 0
	for _, o := range tallies {
		asked += o.askedIn[7] + o.askedIn[8]
		refused += o.refused[7] + o.refused[8]
		late += o.refused[10] + o.refused[11]
	}
	t.Logf("refused %.3f while no leader was there, %d of the next", float64(refused)/float64(asked), late)
	is.True(float64(refused) < 0.5*float64(asked))
	is.True(float64(late) < 0.001*float64(asked))
}

// Guards against a system that refuses nearly everything for a window after all of it has restarted.
func TestAllRestartAtOnce(t *testing.T) {
	is := is.New(t)
	w := &world{
		terms: testTerms, instances: 84, organisations: skewed(88, 2000),
		demand: func(time.Duration, int) float64 { return calm }, where: anywhere(84),
	}
	l := newLeased(begun, w.terms, w.instances, w.organisations).pool(3)
	w.each = func(now time.Time, at time.Duration) {
		l.down = at > 8*time.Second && at < 10*time.Second
		if at == 10*time.Second {
			for _, s := range l.holders {
				l.restart(now, s)
			}
			l.elect(now, 2)
		}
	}
	got := compare(w, 6, 10, 15*time.Second, l)
	t.Logf("refused %.4f, after %.4f, fullest window %.2f", got.before, got.after, got.most)
	is.True(got.most <= 1)
	is.True(got.after < 0.5)
}

// Guards against a new leader that gives out nothing because the same organisations were stretched twice in a row.
func TestStretchedTwiceByOneLeader(t *testing.T) {
	is := is.New(t)
	rate := 100.0
	plan := &wire.Plan{Organisations: []*wire.Organisation{{Name: "o", Rate: &rate}}}
	lost, here := &wire.QuotaHolder{Name: "lost", Incarnation: 1}, &wire.QuotaHolder{Name: "here", Incarnation: 1}
	a := &Allotter{Tolerance: testTerms, Term: 1, ElectedAt: begun, Lease: testLease, Holdoff: time.Second}
	a.Update(plan, []*wire.QuotaHolder{lost, here}, nil)
	ask := func(sequence uint64) int64 {
		response, err := a.Allot(begun, &wire.AllotRequest{
			Holder: here, Sequence: sequence, Whole: true, Parts: []*wire.Part{{Organisation: "o", Wanted: 1}},
		})
		is.NoErr(err)
		return response.GetAllotments()[0].GetHeld()
	}
	is.Equal(ask(1), int64(0))
	is.Equal(a.ToStretch(), []string{"o"})
	change := &wire.StretchChange{Organisations: []string{"o"}, On: true}
	a.Update(plan, []*wire.QuotaHolder{lost, here}, []string{"o"})
	a.ApplyStretch(change, []string{"o"})
	a.ApplyStretch(change, nil)
	is.Equal(ask(2), int64(1))
	// Another leader does not know how much of the rest was given out.
	other := &Allotter{Tolerance: testTerms, Term: 2, ElectedAt: begun, Lease: testLease, Holdoff: time.Second}
	other.Update(plan, []*wire.QuotaHolder{lost, here}, []string{"o"})
	other.ApplyStretch(change, nil)
	a = other
	is.Equal(ask(3), int64(0))
}

// Guards against an earlier change that stretches an organisation, and is applied after the leader has proposed to end that:
// what is given out then passes what the next leader takes for the most.
func TestAnOrganisationThatIsRelaxedGetsNoMore(t *testing.T) {
	is := is.New(t)
	rate := 100.0
	plan := &wire.Plan{Organisations: []*wire.Organisation{{Name: "o", Rate: &rate}}}
	limit, _ := testTerms.limit(plan.GetOrganisations()[0])
	who := []*wire.QuotaHolder{{Name: "e", Incarnation: 1}}
	a := &Allotter{Tolerance: testTerms, Term: 1, ElectedAt: begun, Lease: testLease, Holdoff: time.Second}
	a.Update(plan, who, []string{"o"})
	ask := func(sequence uint64, wanted int64) int64 {
		response, err := a.Allot(begun, &wire.AllotRequest{
			Holder: who[0], Sequence: sequence, Whole: true, Parts: []*wire.Part{{Organisation: "o", Wanted: wanted}},
		})
		is.NoErr(err)
		return response.GetAllotments()[0].GetHeld()
	}
	is.Equal(ask(1, limit), limit)
	is.Equal(ask(2, 1), int64(1))
	is.Equal(a.ToRelax(), []string{"o"})
	a.ApplyStretch(&wire.StretchChange{Organisations: []string{"o"}, On: true}, nil)
	is.True(ask(3, limit) < limit)
}

// Guards against entry instances that are cut off and go on with parts that others have been given meanwhile.
func TestPartsOfInstancesOutOfTouch(t *testing.T) {
	is := is.New(t)
	w := &world{
		terms: testTerms, instances: 30, organisations: skewed(20, 600),
		demand: func(time.Duration, int) float64 { return 3 }, where: anywhere(30), step: 10 * time.Millisecond,
	}
	l := newLeased(begun, w.terms, w.instances, w.organisations).pool(3)
	w.each = func(_ time.Time, at time.Duration) {
		for i, s := range l.holders {
			s.cut = i < 10 && at > 3*time.Second && at < 40*time.Second
		}
	}
	for _, o := range w.play(4, 45*time.Second, l) {
		is.True(o.most <= 1)
	}
}

// Guards against an old part that stays in use after a quota was lowered.
func TestALoweredQuotaBindsAtOnce(t *testing.T) {
	is := is.New(t)
	w := &world{
		terms: testTerms, instances: 84, organisations: skewed(20, 2000),
		demand: func(time.Duration, int) float64 { return calm }, where: anywhere(84),
	}
	l := newLeased(begun, w.terms, w.instances, w.organisations).pool(3)
	lowered := &wire.Plan{Version: 2}
	for _, o := range w.organisations {
		rate := o.GetRate() / 4
		lowered.Organisations = append(lowered.Organisations, &wire.Organisation{Name: o.GetName(), Rate: &rate, Burst: &rate})
	}
	w.each = func(now time.Time, at time.Duration) {
		if at == 6*time.Second {
			l.follow(now, lowered)
		}
	}
	tallies := w.play(5, 16*time.Second, l)
	after := begun.Add(6*time.Second + testTerms.Window)
	for i, o := range tallies {
		late := &tally{}
		for _, at := range o.times {
			if at.After(after) {
				late.times = append(late.times, at)
			}
		}
		is.True(late.highest(testTerms.Window) <= w.bound(lowered.GetOrganisations()[i]))
		is.True(len(late.times) > int(0.9*5*lowered.GetOrganisations()[i].GetRate())) // and what it allows is served
	}
}

// Guards against a run of an entry instance whose parts are given to others while its last requests still count.
func TestPartsOfAnEarlierRunAreKeptForAWindow(t *testing.T) {
	is := is.New(t)
	rate := 10.0
	organisation := &wire.Organisation{Name: "o", Rate: &rate}
	plan := &wire.Plan{Organisations: []*wire.Organisation{organisation}}
	limit, _ := testTerms.limit(organisation)
	a := &Allotter{Tolerance: testTerms, Term: 1, ElectedAt: begun, Lease: testLease, Holdoff: time.Second}
	first, second := &wire.QuotaHolder{Name: "e", Incarnation: 1}, &wire.QuotaHolder{Name: "e", Incarnation: 2}
	a.Update(plan, []*wire.QuotaHolder{first}, []string{"o"})
	ask := func(now time.Time, who *wire.QuotaHolder, sequence uint64, wanted int64) int64 {
		response, err := a.Allot(now, &wire.AllotRequest{
			Holder: who, Sequence: sequence, Whole: true, Parts: []*wire.Part{{Organisation: "o", Wanted: wanted}},
		})
		is.NoErr(err)
		return response.GetAllotments()[0].GetHeld()
	}
	is.Equal(ask(begun, first, 1, limit), limit)
	a.Update(plan, []*wire.QuotaHolder{first, second}, []string{"o"})
	now := begun.Add(time.Second)
	is.Equal(ask(now, second, 1, limit), int64(0))
	is.Equal(ask(now.Add(testTerms.Window-time.Second), second, 2, limit), int64(0))
	is.Equal(ask(now.Add(testTerms.Window+time.Second), second, 3, limit), limit)
	gone := a.Expired(now.Add(testTerms.Window + 2*time.Second))
	is.Equal(len(gone), 1)
	is.Equal(gone[0].GetIncarnation(), uint64(1))
}

// Guards against a suspended leader that wakes after another one has taken over, and gives out parts for a moment.
func TestAProcessThatStoodStillAllotsNothing(t *testing.T) {
	is := is.New(t)
	a := &Allotter{Tolerance: testTerms, Term: 1, ElectedAt: begun, Lease: testLease, Holdoff: time.Second}
	who := &wire.QuotaHolder{Name: "e", Incarnation: 1}
	a.Update(&wire.Plan{}, []*wire.QuotaHolder{who}, nil)
	a.compare(begun, time.Millisecond, 3*time.Second)
	_, err := a.Allot(begun, &wire.AllotRequest{Holder: who, Sequence: 1, Whole: true})
	var suspended *SuspendedError
	is.True(errors.As(err, &suspended))
	_, err = a.Allot(begun.Add(time.Second), &wire.AllotRequest{Holder: who, Sequence: 2, Whole: true})
	is.NoErr(err)
}

// Guards against a request that is counted though it never ran.
func TestWhatHasNotRunIsNotSpent(t *testing.T) {
	is := is.New(t)
	rate := 1.0
	plan := &wire.Plan{Organisations: []*wire.Organisation{{Name: "o", Rate: &rate}}}
	h := Holder{Self: &wire.QuotaHolder{Name: "e"}}
	h.Update(begun, plan)
	r := h.Request(begun)
	h.Answer(begun, begun, &wire.AllotResponse{
		Term: 1, Lease: int64(testLease), Window: int64(5 * time.Second),
		Allotments: []*wire.Allotment{{Organisation: r.GetParts()[0].GetOrganisation(), Held: 1}},
	})
	v := h.Take(begun, "o", Verdict{})
	is.Equal(v.Outcome, Granted)
	is.Equal(h.Take(begun, "o", Verdict{}).Outcome, Lacking)
	h.Return(begun.Add(time.Second), "o", v)
	is.Equal(h.Take(begun.Add(time.Second), "o", Verdict{}).Outcome, Granted)
	is.Equal(h.Take(begun.Add(2*testLease), "o", Verdict{}).Outcome, Unknown) // the parts have run out
	is.Equal(h.Take(begun, "other", Verdict{}).Outcome, Granted)              // no quota
}

// Guards against a waiting request whose want is forgotten by an answer to an earlier request, so that it waits in vain.
func TestAWantOutlivesTheAnswerToAnEarlierRequest(t *testing.T) {
	is := is.New(t)
	rate := 10.0
	h := Holder{Self: &wire.QuotaHolder{Name: "e"}}
	h.Update(begun, &wire.Plan{Organisations: []*wire.Organisation{{Name: "o", Rate: &rate}}})
	answer := &wire.AllotResponse{
		Term: 1, Lease: int64(testLease), Window: int64(5 * time.Second), Allotments: []*wire.Allotment{{Organisation: "o"}},
	}
	h.Request(begun)
	h.Answer(begun, begun, answer)
	h.Request(begun)
	v := h.Take(begun, "o", Verdict{}) // while that one is on its way
	is.Equal(v.Outcome, Lacking)
	h.Answer(begun, begun, answer)
	is.True(h.Wants())
	h.Take(begun, "o", v)
	is.Equal(h.Request(begun).GetParts()[0].GetWanted(), int64(1)) // and it counts once
}

// BenchmarkTake measures one decision.
func BenchmarkTake(b *testing.B) {
	rate := 1e9
	h := Holder{Self: &wire.QuotaHolder{Name: "e"}}
	h.Update(begun, &wire.Plan{Organisations: []*wire.Organisation{{Name: "o", Rate: &rate}}})
	h.Request(begun)
	h.Answer(begun, begun, &wire.AllotResponse{
		Term: 1, Lease: int64(time.Hour), Window: int64(5 * time.Second),
		Allotments: []*wire.Allotment{{Organisation: "o", Held: math.MaxInt32}},
	})
	b.ReportAllocs()
	for b.Loop() {
		h.Take(begun, "o", Verdict{})
	}
}

// Guards against sums of parts over the quota under any order of lost messages, cuts, restarts, new leaders and freezes.
func TestNoScheduleRunsMoreThanTheQuota(t *testing.T) {
	rounds := 100
	if n, err := strconv.Atoi(os.Getenv("CHERVILRAIL_ROUNDS")); err == nil {
		rounds = n
	}
	seeds := slices.Clone(failedSeeds)
	for seed := range rounds {
		seeds = append(seeds, uint64(seed))
	}
	for _, seed := range seeds {
		if most := schedule(seed, func(*leased) {}); most > 1 {
			t.Fatalf("seed %d: a window holds %.4f of its bound", seed, most)
		}
	}
}

// failedSeeds once showed a window over its bound: 5604 for requests that waited were counted when they came.
var failedSeeds = []uint64{5604}

// schedule plays a random history under twice the quota, and returns the fullest window over its bound. Break is called every
// step.
func schedule(seed uint64, breaks func(l *leased)) float64 {
	random := rand.New(rand.NewPCG(seed, 7))
	w := &world{
		terms: testTerms, instances: 3 * (1 + random.IntN(4)), organisations: skewed(1+random.IntN(4), 20+100*random.Float64()),
		demand: func(time.Duration, int) float64 { return 2 }, step: 10 * time.Millisecond,
	}
	w.where = anywhere(w.instances)
	l := newLeased(begun, w.terms, w.instances, w.organisations).pool(3)
	l.lose = func() bool { return random.IntN(10) == 0 }
	term := uint64(1)
	w.each = func(now time.Time, _ time.Duration) {
		disturb(random, l, now, &term)
		breaks(l)
	}
	most := 0.0
	for _, o := range w.play(seed, 12*time.Second, l) {
		most = max(most, o.most)
	}
	return most
}

// Each breaks one thing that keeps the sum; random schedules have to notice.
func TestNaiveSharingPassesTheQuota(t *testing.T) {
	for name, breaks := range map[string]func(l *leased){
		"a new leader does not wait for the holders": func(l *leased) { clear(l.allotter.unknown) },
		"the rest is given out again by each leader": func(l *leased) {
			for _, o := range l.plan.GetOrganisations() {
				l.allotter.fresh[o.GetName()] = true
			}
		},
		"a run that was followed holds nothing": func(l *leased) {
			for who, h := range l.allotter.listed {
				if l.allotter.latest[who.name] != who {
					l.allotter.drop(h)
					delete(l.allotter.unknown, who)
				}
			}
		},
		"what was used is given back": func(l *leased) {
			for _, s := range l.holders {
				for _, p := range s.holder.parts {
					if p.tight {
						p.used = limiter.Window{Origin: begun.Add(-time.Second), Length: testTerms.Window}
					}
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(naiveRounds) {
				if schedule(seed, breaks) > 1 {
					return
				}
			}
			t.Fatal("no schedule noticed")
		})
	}
}

// naiveRounds is in how many schedules a broken way has to be noticed.
const naiveRounds = 300

// disturb does something to the system now and then.
func disturb(random *rand.Rand, l *leased, now time.Time, term *uint64) {
	s := l.holders[random.IntN(len(l.holders))]
	switch random.IntN(300) {
	case 0, 1:
		s.cut = !s.cut
	case 2:
		*term++
		l.elect(now, *term)
	case 3:
		l.down = !l.down
	case 4:
		l.restart(now, s)
	case 5:
		if random.IntN(4) == 0 {
			for _, s := range l.holders {
				l.restart(now, s)
			}
			*term++
			l.elect(now, *term)
		}
	}
}

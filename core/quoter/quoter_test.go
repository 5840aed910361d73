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
	testTolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	startTime     = time.Unix(1000, 0)
)

// report summarises a simulation: before and after are the fractions of requests refused although the quotas allowed
// them, before and after a given second, fullestWindow is the fullest window relative to its bound, and served is the
// fraction of the requests allowed by the quotas that were granted.
type report struct {
	before           float64
	after            float64
	fullestWindow    float64
	served           float64
	bytesPerInstance float64
}

func evaluate(w *simulation, seed uint64, changeSecond int, length time.Duration, s strategy) report {
	var out report
	var asked, refused [2]float64
	allowed, granted := 0.0, 0.0
	for i, o := range w.run(seed, length, s) {
		out.fullestWindow = max(out.fullestWindow, o.fullestWindow)
		entitled := math.Min(float64(o.asked), w.organisations[i].GetRate()*length.Seconds()+w.organisations[i].GetBurst())
		allowed += entitled
		granted += math.Min(float64(o.granted), entitled)
		if float64(o.asked) > entitled {
			continue
		}
		for second := 2; second < len(o.askedBySecond); second++ {
			phase := 0
			if second >= changeSecond {
				phase = 1
			}
			asked[phase] += float64(o.askedBySecond[second])
			refused[phase] += float64(o.refused[second])
		}
	}
	out.before, out.after = refused[0]/max(1, asked[0]), refused[1]/max(1, asked[1])
	out.served = granted / allowed
	out.bytesPerInstance = float64(s.bytes()) / float64(w.instances) / length.Seconds()
	return out
}

func strategies(w *simulation) map[string]strategy {
	return map[string]strategy{
		"pooled":  newLeased(startTime, w.tolerance, w.instances, w.organisations).pool(3),
		"leased":  newLeased(startTime, w.tolerance, w.instances, w.organisations),
		"counted": newCounted(startTime, w.tolerance, w.instances, w.organisations),
		"fixed":   newFixed(startTime, w.tolerance, w.instances, w.organisations),
	}
}

// Guards against refusals of requests within the quotas, and against more requests than they allow, where demand is
// steady, bursts, moves to a few instances, or is three times the quota.
func TestPooledPartsOutperformOtherStrategies(t *testing.T) {
	for _, load := range loadPatterns() {
		t.Run(load.name, func(t *testing.T) {
			is := is.New(t)
			w := &simulation{
				tolerance: testTolerance, instances: 84, organisations: skewed(88, 2000),
				demand: load.demand, route: load.route(84),
			}
			got := map[string]report{}
			for name, s := range strategies(w) {
				got[name] = evaluate(w, 1, 9, 12*time.Second, s)
				t.Logf("%-8s refused %.4f, after the change %.4f; fullest window %.2f; served of entitled %.3f; %.0f bytes/s",
					name, got[name].before, got[name].after, got[name].fullestWindow, got[name].served, got[name].bytesPerInstance)
			}
			is.True(got["pooled"].fullestWindow <= 1)
			is.True(got["pooled"].before < 0.001)
			is.True(got["pooled"].after < 0.02)
			is.True(got["pooled"].served > 0.98)
		})
	}
}

// Guards against a strategy that works for one system size only.
func TestPooledPartsAtDifferentSystemSizes(t *testing.T) {
	for _, size := range []struct{ instances, organisations int }{{12, 88}, {186, 88}, {300, 300}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			w := &simulation{
				tolerance: testTolerance, instances: size.instances,
				organisations: skewed(size.organisations, 24*float64(size.instances)),
				demand:        func(time.Duration, int) float64 { return averageDemand },
				route:         uniform(size.instances), step: 10 * time.Millisecond,
			}
			got := evaluate(w, 2, 9, 8*time.Second, newLeased(startTime, w.tolerance, w.instances, w.organisations).pool(3))
			t.Logf("refused %.4f, fullest window %.2f, %.0f bytes/s", got.before, got.fullestWindow, got.bytesPerInstance)
			is.True(got.before < 0.001)
			is.True(got.fullestWindow <= 1)
		})
	}
}

// Guards against a leader that allots again what the former one allotted, and against requests that are refused for
// long while the new leader has not received all reports.
func TestNewLeaderLearnsHeldParts(t *testing.T) {
	is := is.New(t)
	w := &simulation{
		tolerance: testTolerance, instances: 84, organisations: skewed(88, 2000),
		demand: func(_ time.Duration, organisation int) float64 {
			return []float64{3, averageDemand}[min(1, organisation%4)]
		},
		route: uniform(84),
	}
	l := newLeased(startTime, w.tolerance, w.instances, w.organisations).pool(3)
	term := uint64(1)
	w.onStep = func(now time.Time, at time.Duration) {
		l.leaderDown = at > 5*time.Second && at < 7*time.Second
		if at == 7*time.Second || at == 9*time.Second {
			term++
			l.elect(now, term)
		}
	}
	got := evaluate(w, 3, 8, 14*time.Second, l)
	t.Logf("refused %.4f, after %.4f, fullest window %.2f", got.before, got.after, got.fullestWindow)
	is.True(got.fullestWindow <= 1)
	is.True(got.after < 0.02)
}

// Guards against entry instances that hold so little when traffic starts that most requests fail after the loss of the
// leader.
func TestLeaderLossWhileTrafficStarts(t *testing.T) {
	is := is.New(t)
	w := &simulation{
		tolerance: testTolerance, instances: 84, organisations: skewed(88, 2000), route: uniform(84),
		demand: func(at time.Duration, _ int) float64 {
			if at < 5*time.Second {
				return 0
			}
			return averageDemand
		},
	}
	l := newLeased(startTime, w.tolerance, w.instances, w.organisations).pool(3)
	w.onStep = func(now time.Time, at time.Duration) {
		l.leaderDown = at > 7*time.Second && at < 9*time.Second
		if at == 9*time.Second {
			l.elect(now, 2)
		}
	}
	tallies := w.run(7, 12*time.Second, l)
	asked, refused, late := 0, 0, 0
	for _, o := range tallies {
		asked += o.askedBySecond[7] + o.askedBySecond[8]
		refused += o.refused[7] + o.refused[8]
		late += o.refused[10] + o.refused[11]
	}
	t.Logf("refused %.3f while there was no leader, %d in the first seconds of the next one",
		float64(refused)/float64(asked), late)
	is.True(float64(refused) < 0.5*float64(asked))
	is.True(float64(late) < 0.001*float64(asked))
}

// Guards against a system that refuses nearly everything for a window after all its processes restarted.
func TestAllInstancesRestartAtOnce(t *testing.T) {
	is := is.New(t)
	w := &simulation{
		tolerance: testTolerance, instances: 84, organisations: skewed(88, 2000),
		demand: func(time.Duration, int) float64 { return averageDemand }, route: uniform(84),
	}
	l := newLeased(startTime, w.tolerance, w.instances, w.organisations).pool(3)
	w.onStep = func(now time.Time, at time.Duration) {
		l.leaderDown = at > 8*time.Second && at < 10*time.Second
		if at == 10*time.Second {
			for _, s := range l.holders {
				l.restart(now, s)
			}
			l.elect(now, 2)
		}
	}
	got := evaluate(w, 6, 10, 15*time.Second, l)
	t.Logf("refused %.4f, after %.4f, fullest window %.2f", got.before, got.after, got.fullestWindow)
	is.True(got.fullestWindow <= 1)
	is.True(got.after < 0.5)
}

// Guards against a new leader that allots nothing because the same organisations were stretched twice in a row.
func TestStretchedTwiceByOneLeader(t *testing.T) {
	is := is.New(t)
	rate := 100.0
	plan := &wire.Plan{Organisations: []*wire.Organisation{{Name: "o", Rate: &rate}}}
	lost, here := &wire.QuotaHolder{Name: "lost", Incarnation: 1}, &wire.QuotaHolder{Name: "here", Incarnation: 1}
	a := &Allotter{Tolerance: testTolerance, Term: 1, ElectedAt: startTime, Lease: testLease, Holdoff: time.Second}
	a.Update(plan, []*wire.QuotaHolder{lost, here}, nil)
	ask := func(sequence uint64) int64 {
		response, err := a.Allot(startTime, &wire.AllotRequest{
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
	// Another leader does not know how much of the rest was allotted.
	other := &Allotter{Tolerance: testTolerance, Term: 2, ElectedAt: startTime, Lease: testLease, Holdoff: time.Second}
	other.Update(plan, []*wire.QuotaHolder{lost, here}, []string{"o"})
	other.ApplyStretch(change, nil)
	a = other
	is.Equal(ask(3), int64(0))
}

// Guards against an earlier change that stretches an organisation and is applied after the leader has proposed to end
// that: what is allotted then exceeds the base amount that the next leader assumes.
func TestRelaxedOrganisationIsAllottedNoMore(t *testing.T) {
	is := is.New(t)
	rate := 100.0
	plan := &wire.Plan{Organisations: []*wire.Organisation{{Name: "o", Rate: &rate}}}
	limit, _ := testTolerance.limit(plan.GetOrganisations()[0])
	holders := []*wire.QuotaHolder{{Name: "e", Incarnation: 1}}
	a := &Allotter{Tolerance: testTolerance, Term: 1, ElectedAt: startTime, Lease: testLease, Holdoff: time.Second}
	a.Update(plan, holders, []string{"o"})
	ask := func(sequence uint64, wanted int64) int64 {
		response, err := a.Allot(startTime, &wire.AllotRequest{
			Holder: holders[0], Sequence: sequence, Whole: true, Parts: []*wire.Part{{Organisation: "o", Wanted: wanted}},
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

// Guards against disconnected entry instances that go on using parts that were allotted to others meanwhile.
func TestDisconnectedInstancesStayWithinQuota(t *testing.T) {
	is := is.New(t)
	w := &simulation{
		tolerance: testTolerance, instances: 30, organisations: skewed(20, 600),
		demand: func(time.Duration, int) float64 { return 3 }, route: uniform(30), step: 10 * time.Millisecond,
	}
	l := newLeased(startTime, w.tolerance, w.instances, w.organisations).pool(3)
	w.onStep = func(_ time.Time, at time.Duration) {
		for i, s := range l.holders {
			s.disconnected = i < 10 && at > 3*time.Second && at < 40*time.Second
		}
	}
	for _, o := range w.run(4, 45*time.Second, l) {
		is.True(o.fullestWindow <= 1)
	}
}

// Guards against a part that stays in use after its quota was lowered.
func TestLoweredQuotaTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	w := &simulation{
		tolerance: testTolerance, instances: 84, organisations: skewed(20, 2000),
		demand: func(time.Duration, int) float64 { return averageDemand }, route: uniform(84),
	}
	l := newLeased(startTime, w.tolerance, w.instances, w.organisations).pool(3)
	lowered := &wire.Plan{Version: 2}
	for _, o := range w.organisations {
		rate := o.GetRate() / 4
		lowered.Organisations = append(lowered.Organisations, &wire.Organisation{
			Name: o.GetName(), Rate: &rate, Burst: &rate,
		})
	}
	w.onStep = func(now time.Time, at time.Duration) {
		if at == 6*time.Second {
			l.updatePlan(now, lowered)
		}
	}
	tallies := w.run(5, 16*time.Second, l)
	after := startTime.Add(6*time.Second + testTolerance.Window)
	for i, o := range tallies {
		late := &tally{}
		for _, at := range o.times {
			if at.After(after) {
				late.times = append(late.times, at)
			}
		}
		is.True(late.maxInWindow(testTolerance.Window) <= w.bound(lowered.GetOrganisations()[i]))
		is.True(len(late.times) > int(0.9*5*lowered.GetOrganisations()[i].GetRate())) // requests within it are served
	}
}

// Guards against parts of an earlier run of an entry instance that are allotted to others while its last requests still
// count.
func TestPartsOfEarlierRunAreKeptForAWindow(t *testing.T) {
	is := is.New(t)
	rate := 10.0
	organisation := &wire.Organisation{Name: "o", Rate: &rate}
	plan := &wire.Plan{Organisations: []*wire.Organisation{organisation}}
	limit, _ := testTolerance.limit(organisation)
	a := &Allotter{Tolerance: testTolerance, Term: 1, ElectedAt: startTime, Lease: testLease, Holdoff: time.Second}
	first, second := &wire.QuotaHolder{Name: "e", Incarnation: 1}, &wire.QuotaHolder{Name: "e", Incarnation: 2}
	a.Update(plan, []*wire.QuotaHolder{first}, []string{"o"})
	ask := func(now time.Time, holder *wire.QuotaHolder, sequence uint64, wanted int64) int64 {
		response, err := a.Allot(now, &wire.AllotRequest{
			Holder: holder, Sequence: sequence, Whole: true, Parts: []*wire.Part{{Organisation: "o", Wanted: wanted}},
		})
		is.NoErr(err)
		return response.GetAllotments()[0].GetHeld()
	}
	is.Equal(ask(startTime, first, 1, limit), limit)
	a.Update(plan, []*wire.QuotaHolder{first, second}, []string{"o"})
	now := startTime.Add(time.Second)
	is.Equal(ask(now, second, 1, limit), int64(0))
	is.Equal(ask(now.Add(testTolerance.Window-time.Second), second, 2, limit), int64(0))
	is.Equal(ask(now.Add(testTolerance.Window+time.Second), second, 3, limit), limit)
	expired := a.Expired(now.Add(testTolerance.Window + 2*time.Second))
	is.Equal(len(expired), 1)
	is.Equal(expired[0].GetIncarnation(), uint64(1))
}

// Guards against a suspended leader that resumes after another one was elected, and allots parts for a moment.
func TestSuspendedProcessAllotsNothing(t *testing.T) {
	is := is.New(t)
	a := &Allotter{Tolerance: testTolerance, Term: 1, ElectedAt: startTime, Lease: testLease, Holdoff: time.Second}
	holder := &wire.QuotaHolder{Name: "e", Incarnation: 1}
	a.Update(&wire.Plan{}, []*wire.QuotaHolder{holder}, nil)
	a.detectSuspension(startTime, time.Millisecond, 3*time.Second)
	_, err := a.Allot(startTime, &wire.AllotRequest{Holder: holder, Sequence: 1, Whole: true})
	var suspended *SuspendedError
	is.True(errors.As(err, &suspended))
	_, err = a.Allot(startTime.Add(time.Second), &wire.AllotRequest{Holder: holder, Sequence: 2, Whole: true})
	is.NoErr(err)
}

// Guards against a request that is counted although it never ran.
func TestRequestsThatDidNotRunAreNotCounted(t *testing.T) {
	is := is.New(t)
	rate := 1.0
	plan := &wire.Plan{Organisations: []*wire.Organisation{{Name: "o", Rate: &rate}}}
	h := Holder{Self: &wire.QuotaHolder{Name: "e"}}
	h.Update(startTime, plan)
	r := h.Request(startTime)
	h.Accept(startTime, startTime, &wire.AllotResponse{
		Term: 1, Lease: int64(testLease), Window: int64(5 * time.Second),
		Allotments: []*wire.Allotment{{Organisation: r.GetParts()[0].GetOrganisation(), Held: 1}},
	})
	v := h.Take(startTime, "o", Verdict{})
	is.Equal(v.Outcome, Granted)
	is.Equal(h.Take(startTime, "o", Verdict{}).Outcome, Lacking)
	h.Return(startTime.Add(time.Second), "o", v)
	is.Equal(h.Take(startTime.Add(time.Second), "o", Verdict{}).Outcome, Granted)
	is.Equal(h.Take(startTime.Add(2*testLease), "o", Verdict{}).Outcome, Unknown) // the lease has expired
	is.Equal(h.Take(startTime, "other", Verdict{}).Outcome, Granted)              // no quota
}

// Guards against demand of a waiting request that is cleared by the answer to an earlier request, so that it waits in
// vain.
func TestPendingDemandSurvivesAnswerToEarlierRequest(t *testing.T) {
	is := is.New(t)
	rate := 10.0
	h := Holder{Self: &wire.QuotaHolder{Name: "e"}}
	h.Update(startTime, &wire.Plan{Organisations: []*wire.Organisation{{Name: "o", Rate: &rate}}})
	answer := &wire.AllotResponse{
		Term: 1, Lease: int64(testLease), Window: int64(5 * time.Second), Allotments: []*wire.Allotment{{Organisation: "o"}},
	}
	h.Request(startTime)
	h.Accept(startTime, startTime, answer)
	h.Request(startTime)
	v := h.Take(startTime, "o", Verdict{}) // while that request is in flight
	is.Equal(v.Outcome, Lacking)
	h.Accept(startTime, startTime, answer)
	is.True(h.HasPending())
	h.Take(startTime, "o", v)
	is.Equal(h.Request(startTime).GetParts()[0].GetWanted(), int64(1)) // and it is counted once
}

// BenchmarkTake measures one decision.
func BenchmarkTake(b *testing.B) {
	rate := 1e9
	h := Holder{Self: &wire.QuotaHolder{Name: "e"}}
	h.Update(startTime, &wire.Plan{Organisations: []*wire.Organisation{{Name: "o", Rate: &rate}}})
	h.Request(startTime)
	h.Accept(startTime, startTime, &wire.AllotResponse{
		Term: 1, Lease: int64(time.Hour), Window: int64(5 * time.Second),
		Allotments: []*wire.Allotment{{Organisation: "o", Held: math.MaxInt32}},
	})
	b.ReportAllocs()
	for b.Loop() {
		h.Take(startTime, "o", Verdict{})
	}
}

// Guards against parts that add up to more than the quota under any order of lost messages, disconnections, restarts,
// new leaders and suspensions.
func TestRandomSchedulesStayWithinQuota(t *testing.T) {
	rounds := 100
	if n, err := strconv.Atoi(os.Getenv("CHERVILRAIL_ROUNDS")); err == nil {
		rounds = n
	}
	seeds := slices.Clone(regressionSeeds)
	for seed := range rounds {
		seeds = append(seeds, uint64(seed))
	}
	for _, seed := range seeds {
		if fullestWindow := runSchedule(seed, func(*leased) {}); fullestWindow > 1 {
			t.Fatalf("seed %d: a window contains %.4f of its bound", seed, fullestWindow)
		}
	}
}

// regressionSeeds once produced a window over its bound. In seed 5604, requests that had waited were counted at the
// time they arrived.
var regressionSeeds = []uint64{5604}

// runSchedule simulates a random history with demand of twice the quota, and returns the fullest window relative to its
// bound. It calls breakRule in every step.
func runSchedule(seed uint64, breakRule func(l *leased)) float64 {
	random := rand.New(rand.NewPCG(seed, 7))
	w := &simulation{
		tolerance: testTolerance, instances: 3 * (1 + random.IntN(4)),
		organisations: skewed(1+random.IntN(4), 20+100*random.Float64()),
		demand:        func(time.Duration, int) float64 { return 2 }, step: 10 * time.Millisecond,
	}
	w.route = uniform(w.instances)
	l := newLeased(startTime, w.tolerance, w.instances, w.organisations).pool(3)
	l.dropMessage = func() bool { return random.IntN(10) == 0 }
	term := uint64(1)
	w.onStep = func(now time.Time, _ time.Duration) {
		injectFault(random, l, now, &term)
		breakRule(l)
	}
	fullestWindow := 0.0
	for _, o := range w.run(seed, 12*time.Second, l) {
		fullestWindow = max(fullestWindow, o.fullestWindow)
	}
	return fullestWindow
}

// Each case breaks one rule that bounds the sum of the parts; random schedules have to detect it.
func TestBrokenRulesExceedTheQuota(t *testing.T) {
	for name, breakRule := range map[string]func(l *leased){
		"a new leader does not wait for the holders": func(l *leased) { clear(l.allotter.unreported) },
		"each leader allots the reserve again": func(l *leased) {
			for _, o := range l.plan.GetOrganisations() {
				l.allotter.stretchedInTerm[o.GetName()] = true
			}
		},
		"a superseded run is assumed to hold nothing": func(l *leased) {
			for id, h := range l.allotter.listed {
				if l.allotter.latest[id.name] != id {
					l.allotter.release(h)
					delete(l.allotter.unreported, id)
				}
			}
		},
		"parts in use are given back": func(l *leased) {
			for _, s := range l.holders {
				for _, p := range s.holder.parts {
					if p.tight {
						p.used = limiter.Window{Origin: startTime.Add(-time.Second), Length: testTolerance.Window}
					}
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(maxSchedules) {
				if runSchedule(seed, breakRule) > 1 {
					return
				}
			}
			t.Fatal("no schedule detected the broken rule")
		})
	}
}

// maxSchedules is the number of schedules within which a broken rule has to be detected.
const maxSchedules = 300

// injectFault randomly disconnects or restarts an instance, elects a leader, or stops or starts the leader's answers.
func injectFault(random *rand.Rand, l *leased, now time.Time, term *uint64) {
	s := l.holders[random.IntN(len(l.holders))]
	switch random.IntN(300) {
	case 0, 1:
		s.disconnected = !s.disconnected
	case 2:
		*term++
		l.elect(now, *term)
	case 3:
		l.leaderDown = !l.leaderDown
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

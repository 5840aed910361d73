package quoter

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"chervilrail.example/core/wire"
)

// strategy is a way to share quotas among entry instances. The simulation asks it for a decision on each request of an
// organisation at an instance.
type strategy interface {
	// admit decides on a request that arrives at the given time; done is called with the outcome and the time of the
	// decision.
	admit(now time.Time, instance, organisation int, done func(decided time.Time, granted bool))
	// tick is called every few milliseconds.
	tick(now time.Time)
	// bytes returns the volume of messages between instances and controllers.
	bytes() int
}

// simulation runs a load on entry instances in logical time.
type simulation struct {
	tolerance     Tolerance
	instances     int
	organisations []*wire.Organisation
	// demand returns the fraction of its rate that an organisation asks for.
	demand func(at time.Duration, organisation int) float64
	// route selects the instance that a request is sent to.
	route func(random *rand.Rand, at time.Duration) int
	// onStep is called every step.
	onStep func(now time.Time, at time.Duration)
	// step is the resolution of the logical time, zero for the default.
	step time.Duration
}

// tally counts the requests of one organisation by result.
type tally struct {
	asked   int
	granted int
	// fullestWindow is the highest count in any window, relative to the bound.
	fullestWindow float64
	// refused and askedBySecond count requests by the second in which they arrived.
	refused       []int
	askedBySecond []int
	// times are those at which requests were granted.
	times []time.Time
}

const defaultStep = 2 * time.Millisecond

// run simulates the load for a duration.
func (w *simulation) run(seed uint64, length time.Duration, s strategy) []*tally {
	random := rand.New(rand.NewPCG(seed, 1))
	start, step := time.Unix(1000, 0), w.step
	if step == 0 {
		step = defaultStep
	}
	out := make([]*tally, len(w.organisations))
	seconds := int(length/time.Second) + 1
	for i := range out {
		out[i] = &tally{refused: make([]int, seconds), askedBySecond: make([]int, seconds)}
	}
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		for i, o := range w.organisations {
			for range poisson(random, w.demand(at, i)*o.GetRate()*step.Seconds()) {
				second := int(at / time.Second)
				t := out[i]
				t.asked++
				t.askedBySecond[second]++
				s.admit(now, w.route(random, at), i, func(decided time.Time, granted bool) {
					if !granted {
						t.refused[second]++
						return
					}
					t.granted++
					t.times = append(t.times, decided)
				})
			}
		}
		if w.onStep != nil {
			w.onStep(now, at)
		}
		s.tick(now)
	}
	for i, o := range w.organisations {
		out[i].fullestWindow = out[i].maxInWindow(w.tolerance.Window) / w.bound(o)
	}
	return out
}

// bound returns how many requests may run in a window by the rule given to users.
func (w *simulation) bound(o *wire.Organisation) float64 {
	return (o.GetRate()*w.tolerance.Window.Seconds()+o.GetBurst())*(1+w.tolerance.Overage) + w.tolerance.Slack
}

// maxInWindow returns the highest number of granted requests in any window. The rule given to users counts requests
// that were both sent and run inside the window, so this counts no fewer.
func (t *tally) maxInWindow(window time.Duration) float64 {
	most, first := 0, 0
	for i := range t.times {
		for t.times[i].Sub(t.times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return float64(most)
}

func poisson(random *rand.Rand, mean float64) int {
	n, product, floor := 0, random.Float64(), math.Exp(-mean)
	for product > floor {
		n++
		product *= random.Float64()
	}
	return n
}

// skewed returns organisations of which a few are large. A rate is 1.6 times what the organisation asks for on average.
func skewed(n int, perSecond float64) []*wire.Organisation {
	total := 0.0
	for i := range n {
		total += 1 / float64(i+3)
	}
	var out []*wire.Organisation
	for i := range n {
		rate := math.Ceil(1.6 * perSecond / float64(i+3) / total)
		out = append(out, &wire.Organisation{Name: "o" + strconv.Itoa(i), Rate: &rate, Burst: &rate})
	}
	return out
}

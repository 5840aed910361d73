package quoter

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"chervilrail.example/core/wire"
)

// sharing is a way to share quotas among entry instances, as the replay drives it: one decision on a request of an
// organisation at an instance.
type sharing interface {
	// admit decides on a request that comes at a time; done is called with the outcome and when it was decided.
	admit(now time.Time, instance, organisation int, done func(decided time.Time, granted bool))
	// tick is called every few milliseconds.
	tick(now time.Time)
	// bytes is what was sent between instances and controllers.
	bytes() int
}

// world replays a load on entry instances in logical time.
type world struct {
	terms         Tolerance
	instances     int
	organisations []*wire.Organisation
	// demand is the part of its rate that an organisation asks for.
	demand func(at time.Duration, organisation int) float64
	// where chooses the instance that a request comes to.
	where func(random *rand.Rand, at time.Duration) int
	// each is called every step.
	each func(now time.Time, at time.Duration)
	// step is how finely time passes, zero for the usual.
	step time.Duration
}

// tally is what became of the requests of one organisation.
type tally struct {
	asked   int
	granted int
	// most is the highest count in any window, over the limit of the users' rule.
	most float64
	// refused below the limit, by second.
	refused []int
	askedIn []int
	times   []time.Time
}

const usualStep = 2 * time.Millisecond

// play runs the load for a time.
func (w *world) play(seed uint64, length time.Duration, s sharing) []*tally {
	random := rand.New(rand.NewPCG(seed, 1))
	start, step := time.Unix(1000, 0), w.step
	if step == 0 {
		step = usualStep
	}
	out := make([]*tally, len(w.organisations))
	seconds := int(length/time.Second) + 1
	for i := range out {
		out[i] = &tally{refused: make([]int, seconds), askedIn: make([]int, seconds)}
	}
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		for i, o := range w.organisations {
			for range poisson(random, w.demand(at, i)*o.GetRate()*step.Seconds()) {
				second := int(at / time.Second)
				t := out[i]
				t.asked++
				t.askedIn[second]++
				s.admit(now, w.where(random, at), i, func(decided time.Time, granted bool) {
					if !granted {
						t.refused[second]++
						return
					}
					t.granted++
					t.times = append(t.times, decided)
				})
			}
		}
		if w.each != nil {
			w.each(now, at)
		}
		s.tick(now)
	}
	for i, o := range w.organisations {
		out[i].most = out[i].highest(w.terms.Window) / w.bound(o)
	}
	return out
}

// bound is the users' rule: how many requests may run in a window.
func (w *world) bound(o *wire.Organisation) float64 {
	return (o.GetRate()*w.terms.Window.Seconds()+o.GetBurst())*(1+w.terms.Overage) + w.terms.Slack
}

// highest is the most grants in any window. The users' rule counts a request where it was both sent and run inside the window,
// so this counts no fewer.
func (t *tally) highest(window time.Duration) float64 {
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

// skewed returns organisations of which a few are large; a rate is 1.6 times what the organisation asks for on average.
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

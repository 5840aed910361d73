package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/budgeter"
)

// need is a time in which a fraction of the targets of each region turn all requests away and ask for none for a while.
type need struct {
	fraction    float64
	from, until time.Duration
	asked       time.Duration
	substitutes substitute
	// ignored has instances not read what targets ask for; sharing is how they tell each other.
	ignored bool
	sharing sharing
}

// sharing is how an instance that is told of a backoff tells the others.
type sharing int

const (
	noSharing sharing = iota
	// bindingSharing has all instances keep away.
	bindingSharing
	// adviceSharing has all instances avoid the target.
	adviceSharing
)

// sender is an instance and a target that it sends to.
type sender struct {
	instance *instance
	target   string
}

// backoffCounts counts the requests that arrive at targets which want none.
type backoffCounts struct {
	// asked is when a target asked an instance for no requests, until the end of that time; arrived counts those that came
	// from half a second after the former to the latter, most is the highest such count of all.
	asked, until map[sender]time.Time
	arrived      map[sender]int
	most         int
	// rejected counts the requests that were turned away.
	rejected int
}

func (c *backoffCounts) recordSend(at time.Time, e *instance, target string) {
	key := sender{e, target}
	if at.After(c.asked[key].Add(500*time.Millisecond)) && at.Before(c.until[key]) {
		c.arrived[key]++
		c.most = max(c.most, c.arrived[key])
	}
}

// recordBackoff has an instance receive an answer that asks for no requests.
func (r *simulation) recordBackoff(e *instance, target *Target, rejectedAt time.Time) {
	c := &r.backoffs
	if c.asked == nil {
		c.asked, c.until, c.arrived = map[sender]time.Time{}, map[sender]time.Time{}, map[sender]int{}
	}
	c.rejected++
	key := sender{e, target.Name}
	if !rejectedAt.Before(c.until[key]) {
		c.asked[key], c.until[key], c.arrived[key] = rejectedAt, rejectedAt.Add(r.world.need.asked), 0
	}
	if r.world.need.ignored {
		return
	}
	until := r.now.Add(r.world.need.asked)
	if !e.placer.RecordBackoff(r.now, target, until) || r.world.need.sharing == noSharing {
		return
	}
	r.after(publishDelay, func() {
		for _, other := range r.entries {
			if other == e {
				continue
			}
			if r.world.need.sharing == bindingSharing {
				other.placer.RecordBackoff(r.now, other.placer.byName[target.Name], until)
				continue
			}
			other.placer.AvoidUntil(r.now, target.Name, target.Incarnation, until)
		}
	})
}

func (r *simulation) budget(e *instance) *budgeter.Budget {
	if r.budgets == nil {
		r.budgets = map[*instance]*budgeter.Budget{}
	}
	if r.budgets[e] == nil {
		r.budgets[e] = &budgeter.Budget{}
	}
	return r.budgets[e]
}

// retry offers a request that a target turned away again, if targets ask for backoffs in this world and the budget of
// retries allows it.
func (r *simulation) retry(e *instance, k kind, t *Ticket, rejected string, arrived time.Time) bool {
	if r.world.need.asked == 0 || len(t.Tried) > 0 || !r.budget(e).Spend(r.now, len(r.entries)) {
		return false
	}
	next := *t
	next.Tried, next.Decided = append(next.Tried, rejected), make(chan Decision, 1)
	r.place(e, k, &next, arrived)
	return true
}

// startNeed schedules the time in which targets turn all requests away.
func (r *simulation) startNeed() {
	n := r.world.need
	byRegion := map[string]int{}
	for _, s := range r.specs {
		byRegion[s.Region]++
		if float64(byRegion[s.Region]) > n.fraction*float64(r.world.targets[s.Region])+0.999 {
			continue
		}
		r.after(n.from, func() { r.targets[s.Name].inNeed = true })
		r.after(n.until, func() { r.targets[s.Name].inNeed = false })
	}
	for _, e := range r.entries {
		e.placer.substitutes = n.substitutes
	}
}

// The ways that rendezvous is compared with: neverWaits does not wait for hosts, waitsOnTime always does if that is on
// time, byCost goes where the request is expected to finish first.
type (
	neverWaits  struct{ rendezvous }
	waitsOnTime struct{ rendezvous }
	byCost      struct{ rendezvous }
)

func (neverWaits) waits(time.Time, time.Time, *Ticket) bool { return false }

func (waitsOnTime) waits(_, resumeAt time.Time, t *Ticket) bool {
	return !resumeAt.Add(t.WarmTime).After(t.SoftDeadline)
}

func (byCost) choose(*Placer, time.Time, *Ticket, *Target) *Target { return nil }

// needWorlds are the worlds in which the ways are compared: few instances that each see much of a target, and many that
// see little of it.
func needWorlds() map[string]world {
	few := world{
		targets: map[string]int{"one": 12, "two": 10, "three": 10}, entries: 4, cacheSize: 22, warmFraction: 0.3,
		separateObjects: true, assignHosts: true,
		kinds: []kind{
			{"view", 128, 640 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second, 2, 80, 1.5},
			{"book", 40, 840 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second, 1, 40, 1.5},
		},
	}
	many := largeWorld()
	many.targets, many.entries = map[string]int{"one": 40, "two": 40, "three": 40}, 20
	for i := range many.kinds {
		many.kinds[i].rate /= 2
		many.kinds[i].objects /= 2
	}
	return map[string]world{"12 instances": few, "60 instances": many}
}

// simulateNeed runs a world in which some targets turn all requests away for a while, and returns the fractions of the
// requests that are on time and refused.
func simulateNeed(seed uint64, w world, n need) (r *simulation, onTime, refused float64) {
	w.need = n
	r = newSimulation(seed, false, w)
	r.startNeed()
	r.run(20*time.Second, 0.3)
	var sum tally
	for _, k := range w.kinds {
		t := r.tallies[k.name]
		sum.offered += t.offered
		sum.onTime += t.onTime
		sum.refused += t.refused
	}
	return r, sum.fraction(sum.onTime), sum.fraction(sum.refused)
}

// Guards against targets that get requests they asked not to get, and against callers that are refused meanwhile although
// other targets have room. A third of the targets turn all requests away for nine seconds. It is the load that decides
// how requests for their objects are placed, and who learns of it.
func TestWaysWithTargetsThatWantNoRequestsCompared(t *testing.T) {
	third := need{fraction: 0.33, from: 6 * time.Second, until: 15 * time.Second, asked: 3 * time.Second}
	ways := map[string]func(n *need){
		"ignored":              func(n *need) { n.ignored = true },
		"kept, not told":       func(*need) {},
		"kept by all":          func(n *need) { n.sharing = bindingSharing },
		"advised":              func(n *need) { n.sharing = adviceSharing },
		"advised, by cost":     func(n *need) { n.sharing, n.substitutes = adviceSharing, byCost{} },
		"advised, waits":       func(n *need) { n.sharing, n.substitutes = adviceSharing, waitsOnTime{} },
		"advised, never waits": func(n *need) { n.sharing, n.substitutes = adviceSharing, neverWaits{} },
	}
	for name, w := range needWorlds() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			onTime, refused := map[string]float64{}, map[string]float64{}
			for way, set := range ways {
				n := third
				set(&n)
				r, a, b := simulateNeed(1, w, n)
				onTime[way], refused[way] = a, b
				t.Logf("%-22s on time %.3f, refused %.3f, turned away %d, most in a backoff %d", way, a, b,
					r.backoffs.rejected, r.backoffs.most)
				is.True(n.ignored || r.backoffs.most <= 2)
			}
			is.True(refused["advised"] < 0.5*refused["ignored"])
			is.True(refused["advised"] < refused["advised, by cost"])
			is.True(refused["advised"] < 1.1*refused["kept, not told"])
			is.True(onTime["advised"] > onTime["ignored"]-0.01)
			all := need{
				fraction: 1, from: 6 * time.Second, until: 9 * time.Second, asked: 3 * time.Second, sharing: adviceSharing,
			}
			_, advised, _ := simulateNeed(1, w, all)
			all.sharing = noSharing
			_, notTold, _ := simulateNeed(1, w, all)
			t.Logf("all targets: on time %.3f, not told %.3f", advised, notTold)
			is.True(advised > notTold-0.03)
		})
	}
}

// Guards against targets in need that get requests they asked not to get, for other lengths of need and of backoffs, and
// where all targets are in need at once.
func TestBackoffsAreKept(t *testing.T) {
	for _, c := range []struct {
		fraction     float64
		length, asks time.Duration
	}{
		{0.01, 500 * time.Millisecond, time.Second},
		{0.33, 9 * time.Second, 200 * time.Millisecond},
		{0.33, 9 * time.Second, time.Minute},
		{1, time.Second, time.Second},
		{1, 3 * time.Second, 3 * time.Second},
	} {
		t.Run(fmt.Sprintf("%g of targets for %s, ask for %s", c.fraction, c.length, c.asks), func(t *testing.T) {
			n := need{
				fraction: c.fraction, from: 6 * time.Second, until: 6*time.Second + c.length, asked: c.asks,
				sharing: adviceSharing,
			}
			r, onTime, refused := simulateNeed(2, needWorlds()["12 instances"], n)
			t.Logf("on time %.3f, refused %.3f, turned away %d", onTime, refused, r.backoffs.rejected)
			is.New(t).True(r.backoffs.most <= 2)
		})
	}
}

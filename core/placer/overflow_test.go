package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/messenger"
)

// fullLoad is how many requests a target of nine slots holds when it has no room for one more.
const fullLoad = 11

// peakPlacer is a region whose targets are full, next to one where a part of the slots is taken.
type peakPlacer struct {
	*Placer
	now time.Time
}

func newPeakPlacer() *peakPlacer {
	specs := threeRegionSpecs()
	for i := range specs {
		specs[i].OwnSlots = 0 // all slots are other instances'
	}
	p := newOwner("most", specs, 0, 1)
	w := &peakPlacer{p, start.Add(time.Minute)} // long after targets came
	w.reportLoads(fullLoad, 2)
	return w
}

// reportLoads takes reports of all targets: what runs at those of the region, and at all others.
func (p *peakPlacer) reportLoads(home, other int32) {
	for _, target := range p.targets {
		running := other
		if target.Region == p.Region {
			running = home
		}
		target.start(p.now)
		load := &messenger.Load{Running: running + 1, Slots: 9}
		target.end(p.now, Outcome{ResponseTime: coldRun, ExpectedTime: coldRun, Load: load})
		for range loadDivisor {
			p.regionSplit.observe(p.now, target, load)
		}
	}
	p.otherLoad.decay = time.Hour
}

// offer offers a request for an object whose host is the first target of the region.
func (p *peakPlacer) offer(object string, onTimeWithin time.Duration) (Decision, bool) {
	return p.Offer(p.now, &Ticket{
		Key: object, Host: "most-0", WarmTime: 250 * time.Millisecond, ColdTime: coldRun, SoftDeadline: p.now.Add(onTimeWithin),
		Deadline: p.now.Add(4 * time.Second), Decided: make(chan Decision, 1),
	})
}

// The host of an object is full, and a target in another region has most of its slots free. A request that would be late
// at the host goes there instead of waiting until it is refused; those that follow find the object warm.
func TestFullHostOverflows(t *testing.T) {
	is := is.New(t)
	p := newPeakPlacer()
	for range 40 { // requests before the peak, of which a part may overflow
		p.overflow.count(p.now, false)
	}
	first, _ := p.offer("object", 100*time.Millisecond)
	is.True(first.Target != nil && first.Target.Region != p.Region)
	second, _ := p.offer("object", time.Second)
	is.Equal(second.Target, first.Target)
	_, decided := p.offer("another", time.Second)
	is.True(!decided) // on time at its host after a short wait
	t.Run("and comes home when there is room", func(t *testing.T) {
		p.reportLoads(0, 2)
		is.New(t).Equal(len(p.Tick(p.now)), 1)
		decision, _ := p.offer("object", time.Second)
		is.New(t).Equal(decision.Target.Name, "most-0")
	})
}

// Every region is nearly full. A request that runs cold elsewhere takes as long as three others there, and would
// turn away two whose objects are warm.
func TestNoColdOverflowWhenAllRegionsAreFull(t *testing.T) {
	is := is.New(t)
	p := newPeakPlacer()
	p.reportLoads(fullLoad, 8)
	decision, decided := p.offer("object", 100*time.Millisecond)
	is.True(!decided || decision.Target == nil)
}

// A cold run takes nearly all the time that a booking's route allows. Begun elsewhere, it would be cut off in the middle,
// with its caller in doubt.
func TestOverflowThatWouldExceedDeadlineIsNotStarted(t *testing.T) {
	is := is.New(t)
	p := newPeakPlacer()
	decision, decided := p.Offer(p.now, &Ticket{
		Key: "object", Host: "most-0", WarmTime: 250 * time.Millisecond, ColdTime: coldRun, SoftDeadline: p.now.Add(100 * time.Millisecond),
		Deadline: p.now.Add(coldRun / 2), Decided: make(chan Decision, 1),
	})
	is.True(!decided || decision.Target == nil)
}

// All callers of a region come at once and all its targets are full. If all turned to another region in the same second,
// they would swamp the links, which are planned for 15% in two seconds.
func TestOverflowAcrossRegionsIsLimited(t *testing.T) {
	is := is.New(t)
	p := newPeakPlacer()
	crossed := 0
	const requests = 400
	for i := range requests {
		p.now = p.now.Add(5 * time.Millisecond)
		p.reportLoads(fullLoad, 2)
		decision, _ := p.offer(fmt.Sprint(i), 100*time.Millisecond)
		if decision.Target != nil && decision.Target.Region != p.Region {
			crossed++
		}
		for _, target := range p.targets {
			target.running = 0
		}
	}
	is.True(crossed > 0)
	is.True(crossed <= requests*15/100)
}

// Objects have one host each, and region after region has its peak: some hosts are asked for more than they have slots
// while others are half empty. Left to wait for their hosts, a tenth of the requests would be refused beside idle targets.
func TestRequestsOverflowDuringPeak(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			w := coldStartWorld()
			w.assignHosts = true
			w.kinds[0].rate *= 1.4
			r := newSimulation(seed, false, w)
			r.run(30*time.Second, 0.55)
			view := r.tallies["view"]
			t.Logf("on time %.3f, refused %.3f", view.fraction(view.onTime), view.fraction(view.refused))
			is.True(view.fraction(view.refused) < 0.05)
		})
	}
}

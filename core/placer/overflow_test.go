package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/messenger"
)

// fullLoad is how many requests are at a target of nine slots that has no room for one more.
const fullLoad = 11

// peakPlacer is a placer of a region whose targets are full, with other regions where only some slots are in use.
type peakPlacer struct {
	*Placer
	now time.Time
}

func newPeakPlacer() *peakPlacer {
	specs := threeRegionSpecs()
	for i := range specs {
		specs[i].OwnSlots = 0 // all slots belong to other instances
	}
	p := newOwner("most", specs, 0, 1)
	peak := &peakPlacer{p, start.Add(time.Minute)} // long after the targets became known
	peak.reportLoads(fullLoad, 2)
	return peak
}

// reportLoads has all targets report their loads: how many requests run at those of the region, and at all others.
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
		Key: object, Host: "most-0", WarmTime: 250 * time.Millisecond, ColdTime: coldRun,
		SoftDeadline: p.now.Add(onTimeWithin), Deadline: p.now.Add(4 * time.Second), Decided: make(chan Decision, 1),
	})
}

// Guards against requests that wait for a full host until they are refused, though a target in another region has most
// of its slots free. A request that would be late at the host overflows there; later ones find the object warm.
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
	t.Run("and returns to its host when there is room", func(t *testing.T) {
		p.reportLoads(0, 2)
		is.New(t).Equal(len(p.Tick(p.now)), 1)
		decision, _ := p.offer("object", time.Second)
		is.New(t).Equal(decision.Target.Name, "most-0")
	})
}

// Guards against cold overflow where every region is nearly full: such a run takes as long as three others, and would
// displace two requests whose objects are warm.
func TestNoColdOverflowWhenAllRegionsAreFull(t *testing.T) {
	is := is.New(t)
	p := newPeakPlacer()
	p.reportLoads(fullLoad, 8)
	decision, decided := p.offer("object", 100*time.Millisecond)
	is.True(!decided || decision.Target == nil)
}

// Guards against an overflow whose cold run takes nearly all the time that the route allows: it would be cut off at the
// deadline, with the outcome of a booking unknown to the caller.
func TestOverflowThatWouldExceedDeadlineIsNotStarted(t *testing.T) {
	is := is.New(t)
	p := newPeakPlacer()
	decision, decided := p.Offer(p.now, &Ticket{
		Key: "object", Host: "most-0", WarmTime: 250 * time.Millisecond, ColdTime: coldRun,
		SoftDeadline: p.now.Add(100 * time.Millisecond), Deadline: p.now.Add(coldRun / 2),
		Decided: make(chan Decision, 1),
	})
	is.True(!decided || decision.Target == nil)
}

// Guards against overloaded links between regions, which are planned for moves of 15% in two seconds: all targets of a
// region are full, and all its requests would switch to another region in the same second.
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

// Guards against requests that only wait for their hosts during a peak. Objects have one host each and the regions peak
// one after the other, so some hosts are overloaded while others are half empty; a tenth of the requests would be
// refused beside idle targets.
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

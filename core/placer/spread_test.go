package placer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/messenger"
)

// unevenSpecs are the targets of three regions; the region "few" has too few for its callers.
func unevenSpecs() []Spec {
	var out []Spec
	for region, count := range map[string]int{"few": 4, "some": 12, "many": 16} {
		for i := range count {
			out = append(out, Spec{Name: fmt.Sprintf("%s-%d", region, i), Region: region, Zone: region, Slots: 6})
		}
	}
	return out
}

func assertRegionShare(t *testing.T, p *Placer, region string, want float64) {
	t.Helper()
	is.New(t).True(math.Abs(p.regionSplit.shares[region]-want) < 0.01)
}

// Guards against initial shares taken from the first targets that announce themselves. In a region with few targets,
// the home region would seem to have room, and its first requests would wait for seconds while other regions' slots are
// free.
func TestSharesFollowSlotsUntilFirstRequest(t *testing.T) {
	all := unevenSpecs()
	first := []Spec{}
	for _, s := range all {
		if s.Name == "few-0" || s.Name == "some-0" || s.Name == "many-0" {
			first = append(first, s)
		}
	}
	p := &Placer{Region: "few", Zone: "few", InterRegionRTT: 70 * time.Millisecond}
	p.Update(start, first, 3)
	p.Update(start.Add(time.Second), all, 3)
	t.Run("before", func(t *testing.T) { assertRegionShare(t, p, "few", 0.375) })
	t.Run("after the first request", func(t *testing.T) {
		later := start.Add(time.Minute)
		_, _ = p.Offer(later, &Ticket{SoftDeadline: later.Add(time.Second), Deadline: later.Add(3 * time.Second)})
		p.Update(later, first, 3)
		assertRegionShare(t, p, "few", 0.375)
	})
}

// Guards against requests that never return to a home region that was so full that all of them moved away. No reports
// of its targets arrive from then on, and the last ones must not keep the requests away once the region has long been
// empty: each request would go on paying for the way to another region.
func TestRequestsReturnToHomeRegion(t *testing.T) {
	is := is.New(t)
	p := &Placer{Region: "few", Zone: "few"}
	p.Update(start.Add(-time.Minute), unevenSpecs(), 3)
	s := &p.regionSplit
	home := p.byName["few-0"]
	now := start
	for s.shares["few"] > 0 && now.Sub(start) < time.Minute {
		now = now.Add(10 * time.Millisecond)
		s.observe(now, home, &messenger.Load{Running: 6, Waiting: 6, Slots: 6})
		s.recordArrival(now)
	}
	is.Equal(s.shares["few"], 0.0)
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		s.recordArrival(now)
	}
	is.True(s.shares["few"] > 0.3)
}

package selector

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

type instanceList []*wire.Seen

func (s instanceList) EntryInstances() []*wire.Seen { return s }

func instances(region string, count int) instanceList {
	var out instanceList
	for i := range count {
		out = append(out, &wire.Seen{Node: &wire.Node{
			Name: fmt.Sprint(region, i), Region: region, Caller: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200),
		}})
	}
	return out
}

// countSelected counts how often each entry instance is selected for clients of a region.
func countSelected(s *Selector, region string, clients int) map[netip.AddrPort]int {
	out := map[netip.AddrPort]int{}
	for i := range clients {
		client := netip.AddrFrom4([4]byte{10, 9, byte(i / 250), byte(i % 250)})
		found, _ := s.Select(client, region, "", time.Unix(1000, 0))
		for _, a := range found {
			out[a]++
		}
	}
	return out
}

// Guards against selecting the same instances for all clients of a region that has more instances than fit in one
// answer: these would be overloaded and refuse requests while the others are idle.
func TestAllInstancesAreSelected(t *testing.T) {
	for _, count := range []int{1, 27, 64, 100, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			counts := countSelected(&Selector{InstanceLister: instances("r", count)}, "r", 2000)
			is.Equal(len(counts), count)
			for _, n := range counts {
				is.True(n > 2000*min(count, maxInstances)/count/3)
			}
		})
	}
}

func TestOtherRegionsAreUsedIfRegionHasNone(t *testing.T) {
	is := is.New(t)
	is.Equal(len(countSelected(&Selector{InstanceLister: instances("far", 3)}, "near", 10)), 3)
}

// Guards against all callers using the first few instances that are ready after a restart of all.
func TestStartingInstancesAreSelectedWhileFewAreReady(t *testing.T) {
	for ready, want := range map[int]int{0: 28, 2: 28, 13: 28, 14: 14, 27: 27} {
		t.Run(fmt.Sprint(ready), func(t *testing.T) {
			list := instances("r", 28)
			for _, s := range list[ready:] {
				s.Node.Leaving, s.Node.Starting = true, true
			}
			is.New(t).Equal(len(countSelected(&Selector{InstanceLister: list}, "r", 10)), want)
		})
	}
}

// Guards against selecting instances that are stopping, however few others there are.
func TestStoppingInstancesAreNotSelected(t *testing.T) {
	list := instances("r", 28)
	for _, s := range list[1:] {
		s.Node.Leaving = true
	}
	is.New(t).Equal(len(countSelected(&Selector{InstanceLister: list}, "r", 10)), 1)
}

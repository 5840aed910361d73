package selector

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

type sightings []*wire.Seen

func (s sightings) EntryInstances() []*wire.Seen { return s }

func entries(region string, count int) sightings {
	var out sightings
	for i := range count {
		out = append(out, &wire.Seen{Node: &wire.Node{
			Name: fmt.Sprint(region, i), Region: region, Caller: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200),
		}})
	}
	return out
}

// named counts how often each entry instance is named to clients of a region.
func named(s *Selector, region string, clients int) map[netip.AddrPort]int {
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

// A region has more entry instances than one answer names. When all clients are told the same ones, those are full and
// their callers refused, while the others idle.
func TestAllInstancesAreNamed(t *testing.T) {
	for _, count := range []int{1, 27, 64, 100, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			counts := named(&Selector{InstanceLister: entries("r", count)}, "r", 2000)
			is.Equal(len(counts), count)
			for _, n := range counts {
				is.True(n > 2000*min(count, maxAnswers)/count/3)
			}
		})
	}
}

func TestOthersWhereTheRegionHasNone(t *testing.T) {
	is := is.New(t)
	is.Equal(len(named(&Selector{InstanceLister: entries("far", 3)}, "near", 10)), 3)
}

// Guards against callers that all meet at the first instances which are ready after a restart of all.
func TestFewReadyInstancesDoNotGetEverybody(t *testing.T) {
	for ready, want := range map[int]int{0: 28, 2: 28, 13: 28, 14: 14, 27: 27} {
		t.Run(fmt.Sprint(ready), func(t *testing.T) {
			seen := entries("r", 28)
			for _, s := range seen[ready:] {
				s.Node.Leaving, s.Node.Starting = true, true
			}
			is.New(t).Equal(len(named(&Selector{InstanceLister: seen}, "r", 10)), want)
		})
	}
}

// Guards against clients that are sent to instances which stop, however few others there are.
func TestInstancesThatStopAreNotNamed(t *testing.T) {
	seen := entries("r", 28)
	for _, s := range seen[1:] {
		s.Node.Leaving = true
	}
	is.New(t).Equal(len(named(&Selector{InstanceLister: seen}, "r", 10)), 1)
}

package chooser

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func instances(n int) []Instance {
	var out []Instance
	for i := range n {
		out = append(out, Instance{
			Name: fmt.Sprint("e", i), Region: fmt.Sprint("r", i%3), Zone: fmt.Sprint("r", i%3, "-", i/3%2), Spare: 10,
		})
	}
	return out
}

func distance(from, to string) int {
	if from == to {
		return 0
	}
	return 1
}

var regions = []string{"r0", "r1", "r2"}

func client(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
}

// naiveChoice is the reference: it prepares nothing and scans all instances for every position.
func naiveChoice(all []Instance, c netip.Addr, region string) []string {
	var out []string
	var zone string
	for position := range MaxAnswers {
		best, bestRank, bestScore := -1, 0, 0.0
		for i := range all {
			in := all[i]
			if slices.Contains(out, in.Name) {
				continue
			}
			rank := 2 * distance(region, in.Region)
			if position == 1 && in.Zone == zone {
				rank++
			}
			score := weightedScore(seedOf(c), &in)
			if best < 0 || rank < bestRank || rank == bestRank && score > bestScore {
				best, bestRank, bestScore = i, rank, score
			}
		}
		if best < 0 {
			return out
		}
		if position == 0 {
			zone = all[best].Zone
		}
		out = append(out, all[best].Name)
	}
	return out
}

func names(l *List, c netip.Addr, region string) []string {
	var chosen [MaxAnswers]*Instance
	var out []string
	for _, in := range chosen[:l.Choose(c, region, &chosen)] {
		out = append(out, in.Name)
	}
	return out
}

func TestChooseMatchesNaiveChoice(t *testing.T) {
	is := is.New(t)
	for n := range 14 {
		random := rand.New(rand.NewPCG(uint64(n), 31))
		l := New(instances(n), regions, distance)
		hashed := instances(n)
		for i := range hashed {
			for _, g := range l.regions[""] {
				for _, in := range g {
					if in.Name == hashed[i].Name {
						hashed[i].hash = in.hash
					}
				}
			}
		}
		for range 300 {
			c := client(random.IntN(1 << 20))
			region := regions[random.IntN(3)]
			is.Equal(names(l, c, region), naiveChoice(hashed, c, region))
		}
	}
}

// Guards against the removal of one instance moving the clients of others: if all clients were redistributed, every
// cache behind every instance would be cold at once.
func TestOnlyClientsOfRemovedInstanceMove(t *testing.T) {
	is := is.New(t)
	before := New(instances(12), regions, distance)
	after := New(instances(12)[1:], regions, distance)
	moved := 0
	for i := range 2000 {
		old, now := names(before, client(i), "r0")[0], names(after, client(i), "r0")[0]
		if old != "e0" {
			is.Equal(old, now)
			continue
		}
		moved++
	}
	is.True(moved > 300 && moved < 700) // a quarter of the region's callers used it
}

func TestChooseDoesNotAllocate(t *testing.T) {
	l := New(instances(12), regions, distance)
	var chosen [MaxAnswers]*Instance
	c := client(7)
	is.New(t).Equal(testing.AllocsPerRun(1000, func() { l.Choose(c, "r1", &chosen) }), 0.0)
}

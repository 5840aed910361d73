// Package chooser answers look-ups: which entry instances a caller should use, in which order.
package chooser

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is an entry instance that may be named to callers.
type Instance struct {
	Name    string
	Address netip.AddrPort
	Region  string
	Zone    string
	// Spare is the room that the instance reported, in requests; it weighs the choice.
	Spare int64

	hash uint64
}

// List is an immutable set of instances. Build it with New.
type List struct {
	instances []Instance
	// ranks holds for each region how far every other region is, by index of instances.
	regions map[string][]int
}

// New prepares a list. The distance function orders the regions as seen from a region.
func New(instances []Instance, regions []string, distance func(from, to string) int) *List {
	l := &List{instances: slices.Clone(instances), regions: map[string][]int{}}
	for i := range l.instances {
		l.instances[i].hash = xxhash.Sum64String(l.instances[i].Name)
	}
	for _, region := range append(slices.Clone(regions), "") {
		ranks := make([]int, len(l.instances))
		for i, in := range l.instances {
			if region != "" {
				ranks[i] = distance(region, in.Region)
			}
		}
		l.regions[region] = ranks
	}
	return l
}

// Len returns how many instances there are.
func (l *List) Len() int { return len(l.instances) }

// Answers is how many instances an answer names at most.
const Answers = 3

// Choose fills out with up to Answers instances for a client: the nearest region by weighted rendezvous,
// so that a client keeps its instance while the set changes elsewhere; then two alternatives, the first in
// another availability zone. It returns how many it filled, and does not allocate.
func (l *List) Choose(client netip.Addr, region string, out *[Answers]*Instance) int {
	ranks, ok := l.regions[region]
	if !ok {
		ranks = l.regions[""]
	}
	seed := seedOf(client)
	count := 0
	for count < Answers {
		best := l.best(seed, ranks, out, count)
		if best == nil {
			break
		}
		out[count] = best
		count++
	}
	return count
}

func seedOf(client netip.Addr) uint64 {
	bytes := client.As16()
	return xxhash.Sum64(bytes[:])
}

// best finds the next instance: near before far, for the second place another zone before the same one,
// then the highest weighted rendezvous score.
func (l *List) best(seed uint64, ranks []int, chosen *[Answers]*Instance, count int) *Instance {
	var best *Instance
	bestRank, bestScore := math.MaxInt, 0.0
	for i := range l.instances {
		in := &l.instances[i]
		if taken(in, chosen, count) {
			continue
		}
		rank := 2 * ranks[i]
		if count == 1 && in.Zone == chosen[0].Zone {
			rank++
		}
		score := weigh(seed, in)
		if rank < bestRank || rank == bestRank && score > bestScore {
			best, bestRank, bestScore = in, rank, score
		}
	}
	return best
}

func taken(in *Instance, chosen *[Answers]*Instance, count int) bool {
	for i := range count {
		if chosen[i] == in {
			return true
		}
	}
	return false
}

// weigh is the logarithmic form of weighted rendezvous hashing.
func weigh(seed uint64, in *Instance) float64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], seed)
	binary.LittleEndian.PutUint64(buffer[8:], in.hash)
	h := xxhash.Sum64(buffer[:])
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return float64(max(1, in.Spare)) / -math.Log(unit)
}

// Package partitioner divides the slots of targets among entry instances, so that each instance sends requests only
// into slots of its own. Every instance computes the same division from the same lists. While the lists differ for a
// moment, a target may get more requests than it has slots; it rejects the excess ones without running them.
package partitioner

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Target is a target of a service and the number of its slots.
type Target struct {
	Name   string
	Region string
	Slots  int32
}

// Instance is an entry instance that sends requests to the targets.
type Instance struct {
	Name   string
	Region string
}

// Members are the entry instances that share targets, sorted once for any number of targets.
type Members struct {
	all      []string
	byRegion map[string][]string
}

// NewMembers sorts the instances that share the targets.
func NewMembers(instances []Instance) *Members {
	p := &Members{byRegion: map[string][]string{}}
	for _, in := range instances {
		p.all = append(p.all, in.Name)
		p.byRegion[in.Region] = append(p.byRegion[in.Region], in.Name)
	}
	sort.Strings(p.all)
	for _, names := range p.byRegion {
		sort.Strings(names)
	}
	return p
}

// forRegion returns the sorted names of the instances that share a region's slots.
func (p *Members) forRegion(region string) []string {
	if names := p.byRegion[region]; len(names) > 0 {
		return names
	}
	return p.all
}

// slot is one slot of one target.
type slot struct {
	target int
	hash   uint64
}

// Partition returns how many slots of each target belong to the instance, in the order of targets. The slots of a
// region are divided among the instances there, or among all where the region has none. Where there are fewer slots
// than instances, several share one.
func Partition(self string, members *Members, targets []Target) []int32 {
	out := make([]int32, len(targets))
	byRegion := map[string][]slot{}
	for i, u := range targets {
		for n := range u.Slots {
			byRegion[u.Region] = append(byRegion[u.Region], slot{i, slotHash(u.Name, n)})
		}
	}
	for region, slots := range byRegion {
		distribute(self, members.forRegion(region), slots, out)
	}
	return out
}

// Owner returns the one instance that may send requests to a target whose slots are not divided, such as a cold one: an
// instance of the given region, or of any region if that one has no instance.
func Owner(target string, members *Members, region string) string {
	return HighestWeight(target, members.forRegion(region))
}

// Position returns the position of an instance in the rendezvous order of those that share a target's slots, and their
// number. It is -1 if the instance is none of them.
func Position(self, target string, members *Members, region string) (position, total int) {
	names := members.forRegion(region)
	if i := sort.SearchStrings(names, self); i == len(names) || names[i] != self {
		return -1, len(names)
	}
	own := Weight(target, self)
	for _, name := range names {
		if w := Weight(target, name); w > own || w == own && name < self {
			position++
		}
	}
	return position, len(names)
}

// HighestWeight returns the name with the greatest rendezvous weight for a key, or an empty string if there are no
// names.
func HighestWeight(key string, names []string) string {
	best, most := "", uint64(0)
	for _, name := range names {
		if h := Weight(key, name); best == "" || h > most {
			best, most = name, h
		}
	}
	return best
}

// Weight is the rendezvous weight of a name for a key.
func Weight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// slotHash is the hash by which the n-th slot of a target is ordered.
func slotHash(name string, n int32) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(n))
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// distribute assigns the slots to the instances in turn, in an order that mixes the targets, so that each instance has
// slots at many of them and the loss of one target costs each instance little.
func distribute(self string, names []string, slots []slot, out []int32) {
	position := sort.SearchStrings(names, self)
	if position == len(names) || names[position] != self {
		return
	}
	sort.Slice(slots, func(i, j int) bool {
		if slots[i].hash != slots[j].hash {
			return slots[i].hash < slots[j].hash
		}
		return slots[i].target < slots[j].target
	})
	for i := range max(len(slots), len(names)) {
		if i%len(names) == position {
			out[slots[i%len(slots)].target]++
		}
	}
}

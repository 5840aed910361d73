// Package chooser answers look-ups: it selects the entry instances that a caller should use, and their order.
package chooser

import (
	"encoding/binary"
	"maps"
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
	// Spare is the spare capacity that the instance reported, in requests; it weights the choice.
	Spare int64

	hash uint64
}

// List is an immutable set of instances. Build it with New.
type List struct {
	count int
	// regions holds for each region the instances grouped by distance, the nearest group first.
	regions map[string][][]Instance
}

// New prepares a list. The distance function orders the regions as seen from a region.
func New(instances []Instance, regions []string, distance func(from, to string) int) *List {
	l := &List{count: len(instances), regions: map[string][][]Instance{}}
	hashed := slices.Clone(instances)
	for i := range hashed {
		hashed[i].hash = xxhash.Sum64String(hashed[i].Name)
	}
	for _, region := range regions {
		l.regions[region] = group(hashed, func(in Instance) int { return distance(region, in.Region) })
	}
	l.regions[""] = group(hashed, func(Instance) int { return 0 })
	return l
}

// group splits instances by rank, in order of rank.
func group(instances []Instance, rank func(in Instance) int) [][]Instance {
	byRank := map[int][]Instance{}
	for _, in := range instances {
		byRank[rank(in)] = append(byRank[rank(in)], in)
	}
	var out [][]Instance
	for _, r := range slices.Sorted(maps.Keys(byRank)) {
		out = append(out, byRank[r])
	}
	return out
}

// Len returns how many instances there are.
func (l *List) Len() int { return l.count }

// MaxAnswers is the largest number of instances that an answer names.
const MaxAnswers = 3

// Choose fills out with up to MaxAnswers instances for a client. The first is chosen from the nearest region by
// weighted rendezvous hashing, so that a client keeps its instance while other instances come and go; two alternatives
// follow, the first of them in another availability zone if the region has one. Only the nearest group is considered,
// unless it has too few instances. Choose returns how many it filled, and does not allocate.
func (l *List) Choose(client netip.Addr, region string, out *[MaxAnswers]*Instance) int {
	groups, ok := l.regions[region]
	if !ok {
		groups = l.regions[""]
	}
	seed := seedOf(client)
	count := 0
	for _, instances := range groups {
		if count == MaxAnswers {
			break
		}
		var r ranking
		for i := range instances {
			r.add(&instances[i], weightedScore(seed, &instances[i]))
		}
		count = r.appendTo(out, count)
	}
	return count
}

// ranking keeps the best instances of a group in one pass.
type ranking struct {
	top [MaxAnswers]candidate
	// otherZone is the best instance in an availability zone other than that of top[0].
	otherZone candidate
}

// candidate is an instance with its score for one client.
type candidate struct {
	instance *Instance
	score    float64
}

func (r *ranking) add(in *Instance, score float64) {
	best := r.top[0].instance
	switch {
	case best == nil || score > r.top[0].score:
		if best != nil && best.Zone != in.Zone {
			r.otherZone = r.top[0]
		}
	case in.Zone != best.Zone && score > r.otherZone.score:
		r.otherZone = candidate{in, score}
	}
	r.insert(candidate{in, score})
}

func (r *ranking) insert(c candidate) {
	for i := range r.top {
		if r.top[i].instance == nil || c.score > r.top[i].score {
			c, r.top[i] = r.top[i], c
		}
		if c.instance == nil {
			return
		}
	}
}

// appendTo adds the best instance to out at index count, then the best of another availability zone, then the rest by
// score. It returns the new count.
func (r *ranking) appendTo(out *[MaxAnswers]*Instance, count int) int {
	order := [MaxAnswers + 1]*Instance{r.top[0].instance, r.otherZone.instance, r.top[1].instance, r.top[2].instance}
	for _, in := range order {
		if in == nil || count == MaxAnswers || slices.Contains(out[:count], in) {
			continue
		}
		out[count] = in
		count++
	}
	return count
}

func seedOf(client netip.Addr) uint64 {
	bytes := client.As16()
	return xxhash.Sum64(bytes[:])
}

// weightedScore is the logarithmic form of weighted rendezvous hashing.
func weightedScore(seed uint64, in *Instance) float64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], seed)
	binary.LittleEndian.PutUint64(buffer[8:], in.hash)
	h := xxhash.Sum64(buffer[:])
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return float64(max(1, in.Spare)) / -math.Log(unit)
}

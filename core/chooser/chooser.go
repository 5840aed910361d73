// Package chooser answers look-ups: which entry instances a caller should use, in which order.
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
	// Spare is the room that the instance reported, in requests; it weighs the choice.
	Spare int64

	hash uint64
}

// List is an immutable set of instances. Build it with New.
type List struct {
	count int
	// regions holds for each region the instances grouped by distance, near ones first.
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

// MaxAnswers is how many instances an answer names at most.
const MaxAnswers = 3

// Choose fills out with up to Answers instances for a client: the nearest region by weighted rendezvous,
// so that a client keeps its instance while the set changes elsewhere; then two alternatives, the first in
// another availability zone if the region has one. It returns how many it filled, and does not allocate.
// Only the nearest group is looked at, unless it has too few.
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
		var r race
		for i := range instances {
			r.enter(&instances[i], weigh(seed, &instances[i]))
		}
		count = r.award(out, count)
	}
	return count
}

// race keeps the best instances of a group in one pass.
type race struct {
	top [MaxAnswers]contender
	// other is the best in another availability zone than the winner's.
	other contender
}

type contender struct {
	instance *Instance
	score    float64
}

func (r *race) enter(in *Instance, score float64) {
	winner := r.top[0].instance
	switch {
	case winner == nil || score > r.top[0].score:
		if winner != nil && winner.Zone != in.Zone {
			r.other = r.top[0]
		}
	case in.Zone != winner.Zone && score > r.other.score:
		r.other = contender{in, score}
	}
	r.rank(contender{in, score})
}

func (r *race) rank(c contender) {
	for i := range r.top {
		if r.top[i].instance == nil || c.score > r.top[i].score {
			c, r.top[i] = r.top[i], c
		}
		if c.instance == nil {
			return
		}
	}
}

// award names the winner, then the best of another zone, then the rest by score.
func (r *race) award(out *[MaxAnswers]*Instance, count int) int {
	order := [MaxAnswers + 1]*Instance{r.top[0].instance, r.other.instance, r.top[1].instance, r.top[2].instance}
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

// weigh is the logarithmic form of weighted rendezvous hashing.
func weigh(seed uint64, in *Instance) float64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], seed)
	binary.LittleEndian.PutUint64(buffer[8:], in.hash)
	h := xxhash.Sum64(buffer[:])
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return float64(max(1, in.Spare)) / -math.Log(unit)
}

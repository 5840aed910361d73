package placer

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxObjects bounds the number of remembered objects.
	maxObjects = 16384
	// shareStep is how far a region's share moves before objects follow: fewer than one in fifty are then placed
	// differently by two instances.
	shareStep = 0.02
	// minShare replaces a share of zero.
	minShare = 1e-6
)

// hosts selects by hash, for each object without a known host, the target of each region that is to keep it warm, and
// the order in which to use them. Every entry instance of a region computes nearly the same hosts from the same targets
// and shares, so an object is warm at its first host whichever instance handled its last request. If an object had
// hosts of equal rank in all regions, it would start cold in each of them, which takes a region with few callers half a
// minute to get through.
type hosts struct {
	byRegion map[string][]*Target
	cached   map[string][]*Target
	// shares are the fractions of the objects whose first host is in each region.
	shares map[string]float64
}

// reset applies a changed list of targets.
func (h *hosts) reset(targets []*Target) {
	h.byRegion = map[string][]*Target{}
	for _, t := range targets {
		h.byRegion[t.Region] = append(h.byRegion[t.Region], t)
	}
	h.cached = map[string][]*Target{}
}

// setShares sets the fractions of the objects that each region is to host first, if one of them moved by more than
// shareStep.
func (h *hosts) setShares(shares map[string]float64) {
	for region, share := range shares {
		if math.Abs(share-h.shares[region]) > shareStep {
			h.shares = maps.Clone(shares)
			h.cached = map[string][]*Target{}
			return
		}
	}
}

// forObject returns the hosts of an object, the first one first.
func (h *hosts) forObject(key string) []*Target {
	if key == "" {
		return nil
	}
	if targets, ok := h.cached[key]; ok {
		return targets
	}
	if len(h.cached) >= maxObjects {
		h.cached = map[string][]*Target{}
	}
	var out []*Target
	for _, region := range h.regionOrder(key) {
		out = append(out, highestWeight(key, h.byRegion[region]))
	}
	h.cached[key] = out
	return out
}

// regionOrder returns the regions for an object. Each comes first for its share of the objects, and few objects change
// their region when the shares change.
func (h *hosts) regionOrder(key string) []string {
	scores := map[string]float64{}
	for region := range h.byRegion {
		u := (float64(hashWeight(key, region)) + 1) / math.MaxUint64
		scores[region] = -math.Log(min(u, 1)) / max(minShare, h.shares[region])
	}
	return slices.SortedFunc(maps.Keys(scores), func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[a], scores[b]), cmp.Compare(a, b))
	})
}

// highestWeight returns the target with the greatest rendezvous weight for a key. The list must not be empty.
func highestWeight(key string, list []*Target) *Target {
	best, most := list[0], hashWeight(key, list[0].Name)
	for _, t := range list[1:] {
		if w := hashWeight(key, t.Name); w > most {
			best, most = t, w
		}
	}
	return best
}

// hashWeight is the rendezvous weight of a name for a key.
func hashWeight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

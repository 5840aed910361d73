package placer

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxObjects bounds the remembered objects.
	maxObjects = 16384
	// shareStep is how far a region's part moves before objects follow: fewer than one in fifty are then placed
	// differently by two instances.
	shareStep = 0.02
	// minShare stands for no part at all.
	minShare = 1e-6
)

// hosts chooses by hash, for each object without a known host, the target of each region that is to keep it warm, and in
// which order they are to be used. Every entry instance of a region computes nearly the same ones from the same targets and shares, so an object is
// warm at its first host whichever instance its last request came by. An object with a place in each region alike would
// start cold in all of them, which a region with few callers takes half a minute for.
type hosts struct {
	byRegion map[string][]*Target
	chosen   map[string][]*Target
	// shares are the parts of the objects whose first host is in each region.
	shares map[string]float64
}

func (h *hosts) reset(targets []*Target) {
	h.byRegion = map[string][]*Target{}
	for _, t := range targets {
		h.byRegion[t.Region] = append(h.byRegion[t.Region], t)
	}
	h.chosen = map[string][]*Target{}
}

// prefer takes the parts of the objects that each region is to host first.
func (h *hosts) prefer(shares map[string]float64) {
	for region, part := range shares {
		if math.Abs(part-h.shares[region]) > shareStep {
			h.shares = maps.Clone(shares)
			h.chosen = map[string][]*Target{}
			return
		}
	}
}

// of returns the hosts of an object, the first one first.
func (h *hosts) of(key string) []*Target {
	if key == "" {
		return nil
	}
	if found, ok := h.chosen[key]; ok {
		return found
	}
	if len(h.chosen) >= maxObjects {
		h.chosen = map[string][]*Target{}
	}
	var out []*Target
	for _, region := range h.order(key) {
		out = append(out, first(key, h.byRegion[region]))
	}
	h.chosen[key] = out
	return out
}

// order returns the regions for an object. Each comes first for its part of the objects, and few objects change their
// region when the parts change.
func (h *hosts) order(key string) []string {
	scores := map[string]float64{}
	for region := range h.byRegion {
		u := (float64(weight(key, region)) + 1) / math.MaxUint64
		scores[region] = -math.Log(min(u, 1)) / max(minShare, h.shares[region])
	}
	return slices.SortedFunc(maps.Keys(scores), func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[a], scores[b]), cmp.Compare(a, b))
	})
}

func first(key string, list []*Target) *Target {
	best, most := list[0], weight(key, list[0].Name)
	for _, t := range list[1:] {
		if w := weight(key, t.Name); w > most {
			best, most = t, w
		}
	}
	return best
}

func weight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

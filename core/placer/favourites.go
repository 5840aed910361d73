package placer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// warmObjects is how many objects a target is given to keep warm; targets forget those they handled longest ago,
	// from about 35 on, and one that is given more keeps none: each comes back just after it was forgotten.
	warmObjects = 30
	// objectLife is how long an object counts as in use.
	objectLife = 10 * time.Second
	// countEvery is how often the objects in use are counted.
	countEvery = time.Second
	// maxObjects bounds the remembered objects.
	maxObjects = 16384
	// hostSteps is in how many steps the part of the objects that a region hosts changes, so that the instances, whose
	// counts differ a little, mostly agree.
	hostSteps = 8
)

// favourites chooses, for each object, the target of each region that is to keep it warm. Every entry instance
// computes the same ones from the same targets, so an object is warm there whichever instance its last request came
// by.
type favourites struct {
	byRegion map[string][]*Target
	// hosted is the part of all objects that each region's targets can keep.
	hosted  map[string]float64
	chosen  map[string][]*Target
	seen    map[string]time.Time
	countAt time.Time
}

func (f *favourites) reset(targets []*Target) {
	f.byRegion = map[string][]*Target{}
	for _, t := range targets {
		f.byRegion[t.Region] = append(f.byRegion[t.Region], t)
	}
	f.chosen = map[string][]*Target{}
	f.share()
}

// share works out which part of the objects fits each region.
func (f *favourites) share() bool {
	hosted := map[string]float64{}
	changed := false
	for region, list := range f.byRegion {
		part := float64(warmObjects*len(list)) / float64(max(1, len(f.seen)))
		hosted[region] = min(1, math.Floor(part*hostSteps)/hostSteps)
		changed = changed || hosted[region] != f.hosted[region]
	}
	f.hosted = hosted
	return changed
}

// of returns the favourites of an object.
func (f *favourites) of(now time.Time, key string) []*Target {
	if key == "" {
		return nil
	}
	f.count(now, key)
	if found, ok := f.chosen[key]; ok {
		return found
	}
	var out []*Target
	for region, list := range f.byRegion {
		if float64(weight(key, region))/math.MaxUint64 < f.hosted[region] {
			out = append(out, first(key, list))
		}
	}
	f.chosen[key] = out
	return out
}

func first(key string, list []*Target) *Target {
	best := list[0]
	for _, t := range list[1:] {
		if weight(key, t.Name) > weight(key, best.Name) {
			best = t
		}
	}
	return best
}

// count keeps track of the objects in use.
func (f *favourites) count(now time.Time, key string) {
	if f.seen == nil || len(f.seen) >= maxObjects {
		f.seen = map[string]time.Time{}
		f.chosen = map[string][]*Target{}
	}
	f.seen[key] = now
	if now.Before(f.countAt) {
		return
	}
	f.countAt = now.Add(countEvery)
	for k, at := range f.seen {
		if now.Sub(at) > objectLife {
			delete(f.seen, k)
		}
	}
	if f.share() {
		f.chosen = map[string][]*Target{}
	}
}

func weight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Package gauger shares the load of each target between many entry instances.
//
// It is for services with many entry instances and many targets: each instance sends one request in hundreds, so it
// receives a load report of a target once in many seconds and assumes an average load in between. Some targets would
// then have several times as many requests as slots while others idle. Therefore each report that a target sends with
// an answer is passed on: an instance collects the reports, its controller smooths them over all instances of the
// region, and the instances receive what changed.
package gauger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilrail.example/core/wire"
)

const (
	// levelsPerUnit is the number of levels for one request per slot, maxLevel the highest level.
	levelsPerUnit = 16
	maxLevel      = 255
	// maxCollectedTargets limits the targets whose reports an instance collects between two calls of Take.
	maxCollectedTargets = 4096
)

// Reading is the load of one target.
type Reading struct {
	// Target is the Key of its name.
	Target uint32
	// PerSlot is the number of requests at the target for each of its slots.
	PerSlot float64
}

// Key identifies a target in readings: a hash of its name. Two targets with the same key are taken for equally loaded;
// the only effect is a less suitable target for a request.
func Key(target string) uint32 { return uint32(xxhash.Sum64String(target)) }

// Encode returns a message with the readings; nil if there are none. Loads are rounded to 1/levelsPerUnit and limited
// to maxLevel.
func Encode(readings []Reading) *wire.Loads {
	if len(readings) == 0 {
		return nil
	}
	out := &wire.Loads{}
	for _, r := range readings {
		out.Targets = append(out.Targets, r.Target)
		out.Levels = append(out.Levels, level(r.PerSlot))
	}
	return out
}

// Decode returns the readings of a message. A target without a level, or a level without a target, is skipped.
func Decode(m *wire.Loads) []Reading {
	n := min(len(m.GetTargets()), len(m.GetLevels()))
	out := make([]Reading, 0, n)
	for i := range n {
		out = append(out, Reading{m.GetTargets()[i], float64(m.GetLevels()[i]) / levelsPerUnit})
	}
	return out
}

func level(perSlot float64) byte {
	return byte(min(maxLevel, max(0, perSlot)*levelsPerUnit+0.5))
}

// Collector averages the loads that targets report to one entry instance until they are passed on. The zero value is
// ready; it is not safe for concurrent use.
type Collector struct {
	sums map[uint32]sum
}

type sum struct {
	total float64
	count float64
}

// Add records a report; the report is dropped if its target is new and the collector is full.
func (c *Collector) Add(r Reading) {
	if c.sums == nil {
		c.sums = map[uint32]sum{}
	}
	old, ok := c.sums[r.Target]
	if !ok && len(c.sums) >= maxCollectedTargets {
		return
	}
	c.sums[r.Target] = sum{old.total + r.PerSlot, old.count + 1}
}

// Take returns the averages since the last call and resets them.
func (c *Collector) Take() []Reading {
	out := make([]Reading, 0, len(c.sums))
	for target, s := range c.sums {
		out = append(out, Reading{target, s.total / s.count})
	}
	clear(c.sums)
	return out
}

// Decay returns the remaining weight of an observation, from 1 at age 0 downwards. It approximates exp(-age/span) and
// is cheap to compute.
func Decay(age, span time.Duration) float64 {
	x := float64(max(0, age)) / float64(max(1, span))
	return 1 / (1 + x + x*x/2 + x*x*x/6)
}

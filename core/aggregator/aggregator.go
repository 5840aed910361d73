// Package aggregator tells many entry instances how busy each target is.
//
// It answers the service with many entry instances and many targets: each instance sends one request in hundreds, so it
// hears of a target once in many seconds and takes it for an average one in between. Some targets then hold several
// times their slots while others idle. Each report that a target sends with an answer is passed on instead: an instance
// collects them, its controller smooths them over all instances of the region, and the instances hear what changed.
package aggregator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilrail.example/core/wire"
)

const (
	// levelsPerUnit is how many levels a request per slot has, maxLevel the highest one.
	levelsPerUnit = 16
	maxLevel      = 255
	// maxCollectedTargets bounds the targets of which an instance passes on reports at once.
	maxCollectedTargets = 4096
)

// Reading is the load of one target.
type Reading struct {
	// Target is the Key of its name.
	Target uint32
	// PerSlot is how many requests it holds for each of its slots.
	PerSlot float64
}

// Key is what a target is called in readings: a hash of its name. Two targets that share one are taken for equally busy,
// which costs a request a worse place and nothing else.
func Key(target string) uint32 { return uint32(xxhash.Sum64String(target)) }

// Encode puts readings into a message, nil if there are none.
func Encode(list []Reading) *wire.Loads {
	if len(list) == 0 {
		return nil
	}
	out := &wire.Loads{}
	for _, r := range list {
		out.Targets = append(out.Targets, r.Target)
		out.Levels = append(out.Levels, level(r.PerSlot))
	}
	return out
}

// Decode reads a message; pairs that are not whole are left out.
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

// Collector averages what targets report to one entry instance until it is passed on. The zero value is ready; it is for
// use under one lock.
type Collector struct {
	sums map[uint32]sum
}

type sum struct {
	total float64
	count float64
}

// Add takes a report.
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

// Take returns the averages since the last call.
func (c *Collector) Take() []Reading {
	out := make([]Reading, 0, len(c.sums))
	for target, s := range c.sums {
		out = append(out, Reading{target, s.total / s.count})
	}
	clear(c.sums)
	return out
}

// Decay is the weight that is left of an observation. It falls like an exponential, and is cheap.
func Decay(age, span time.Duration) float64 {
	x := float64(max(0, age)) / float64(max(1, span))
	return 1 / (1 + x + x*x/2 + x*x*x/6)
}

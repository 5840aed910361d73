package aggregator

import (
	"slices"
	"time"
)

const (
	// decayTime is the time in which an observation loses two thirds of its weight: long enough for a mean of many short
	// requests, short enough to follow a peak.
	decayTime = time.Second
	// minLevelChange is by how many levels a load has to change to be told before that. Smaller changes say nothing and cost bytes
	// to each of hundreds of instances.
	minLevelChange = 2
	// republishInterval is how often a load that does not change is told again. One that is not told for long is taken for unknown.
	republishInterval = 2 * time.Second
	// maxTargets bounds the targets that are remembered, forgetAfter how long.
	maxTargets   = 1 << 16
	targetExpiry = 10 * time.Second
)

// LoadTable is what a controller knows of the targets' loads, from the entry instances of its region and through the other
// controllers there. The zero value is ready; it is for use under one lock.
type LoadTable struct {
	targets map[uint32]*targetLoad
	changes []change
	counter uint64
	sweepAt time.Time
}

// targetLoad is the smoothed load of one target.
type targetLoad struct {
	// all is over all observations, near over those that came here from entry instances.
	all   mean
	local mean
	// level was told last, at the count changed.
	level       byte
	changed     uint64
	publishedAt time.Time
}

// change says that a target's load was told anew; it is out of date when that happened again.
type change struct {
	counter uint64
	target  uint32
}

// mean is a smoothed load with the weight of what it is made of, as of a time.
type mean struct {
	perSlot float64
	weight  float64
	at      time.Time
}

func (m *mean) add(now time.Time, perSlot float64) {
	kept := m.weight * Decay(now.Sub(m.at), decayTime)
	m.perSlot = (m.perSlot*kept + perSlot) / (kept + 1)
	m.weight, m.at = kept+1, now
}

// Record takes readings; near tells that they came from entry instances, not from another controller.
func (g *LoadTable) Record(now time.Time, list []Reading, local bool) {
	if g.targets == nil {
		g.targets = map[uint32]*targetLoad{}
	}
	g.sweep(now)
	for _, r := range list {
		n, ok := g.targets[r.Target]
		if !ok {
			if len(g.targets) >= maxTargets {
				continue
			}
			n = &targetLoad{}
			g.targets[r.Target] = n
		}
		n.all.add(now, r.PerSlot)
		if local {
			n.local.add(now, r.PerSlot)
		}
		if next := level(n.all.perSlot); levelDistance(next, n.level) >= minLevelChange || now.Sub(n.publishedAt) >= republishInterval {
			g.publish(now, r.Target, n, next)
		}
	}
}

func levelDistance(a, b byte) int { return int(max(a, b)) - int(min(a, b)) }

func (g *LoadTable) publish(now time.Time, target uint32, n *targetLoad, level byte) {
	g.counter++
	n.level, n.changed, n.publishedAt = level, g.counter, now
	if len(g.changes) > 2*len(g.targets)+1 {
		g.changes = slices.DeleteFunc(g.changes, func(c change) bool { return !g.current(c) })
	}
	g.changes = append(g.changes, change{g.counter, target})
}

// current reports whether a change is the last one of its target.
func (g *LoadTable) current(c change) bool {
	n, ok := g.targets[c.target]
	return ok && n.changed == c.counter
}

// sweep forgets targets that nobody sends to any more.
func (g *LoadTable) sweep(now time.Time) {
	if now.Before(g.sweepAt) {
		return
	}
	g.sweepAt = now.Add(targetExpiry)
	for target, n := range g.targets {
		if now.Sub(n.all.at) >= targetExpiry {
			delete(g.targets, target)
		}
	}
}

// Counter counts the changes so far.
func (g *LoadTable) Counter() uint64 { return g.counter }

// Since returns the loads that changed after a count.
func (g *LoadTable) Since(counter uint64) []Reading {
	at, _ := slices.BinarySearchFunc(g.changes, counter+1, func(c change, wanted uint64) int {
		return int(int64(c.counter) - int64(wanted))
	})
	var out []Reading
	for _, c := range g.changes[at:] {
		if g.current(c) {
			out = append(out, Reading{c.target, float64(g.targets[c.target].level) / levelsPerUnit})
		}
	}
	return out
}

// Local returns the loads that entry instances told here after a time, for the other controllers of the region.
func (g *LoadTable) Local(after time.Time) []Reading {
	var out []Reading
	for target, n := range g.targets {
		if n.local.at.After(after) {
			out = append(out, Reading{target, n.local.perSlot})
		}
	}
	return out
}

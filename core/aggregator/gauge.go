package aggregator

import (
	"slices"
	"time"
)

const (
	// span is the time in which an observation loses two thirds of its weight: long enough for a mean of many short
	// requests, short enough to follow a peak.
	span = time.Second
	// least is by how many levels a load has to change to be told before that. Smaller changes say nothing and cost bytes
	// to each of hundreds of instances.
	least = 2
	// repeat is how often a load that does not change is told again. One that is not told for long is taken for unknown.
	repeat = 2 * time.Second
	// maxTargets bounds the targets that are remembered, forgetAfter how long.
	maxTargets  = 1 << 16
	forgetAfter = 10 * time.Second
)

// LoadTable is what a controller knows of the targets' loads, from the entry instances of its region and through the other
// controllers there. The zero value is ready; it is for use under one lock.
type LoadTable struct {
	known   map[uint32]*needle
	order   []change
	counter uint64
	sweepAt time.Time
}

// needle is the smoothed load of one target.
type needle struct {
	// all is over all observations, near over those that came here from entry instances.
	all  mean
	near mean
	// level was told last, at the count changed.
	level   byte
	changed uint64
	toldAt  time.Time
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
	kept := m.weight * Decay(now.Sub(m.at), span)
	m.perSlot = (m.perSlot*kept + perSlot) / (kept + 1)
	m.weight, m.at = kept+1, now
}

// Record takes readings; near tells that they came from entry instances, not from another controller.
func (g *LoadTable) Record(now time.Time, list []Reading, near bool) {
	if g.known == nil {
		g.known = map[uint32]*needle{}
	}
	g.sweep(now)
	for _, r := range list {
		n, ok := g.known[r.Target]
		if !ok {
			if len(g.known) >= maxTargets {
				continue
			}
			n = &needle{}
			g.known[r.Target] = n
		}
		n.all.add(now, r.PerSlot)
		if near {
			n.near.add(now, r.PerSlot)
		}
		if next := level(n.all.perSlot); apart(next, n.level) >= least || now.Sub(n.toldAt) >= repeat {
			g.tell(now, r.Target, n, next)
		}
	}
}

func apart(a, b byte) int { return int(max(a, b)) - int(min(a, b)) }

func (g *LoadTable) tell(now time.Time, target uint32, n *needle, level byte) {
	g.counter++
	n.level, n.changed, n.toldAt = level, g.counter, now
	if len(g.order) > 2*len(g.known)+1 {
		g.order = slices.DeleteFunc(g.order, func(c change) bool { return !g.current(c) })
	}
	g.order = append(g.order, change{g.counter, target})
}

// current reports whether a change is the last one of its target.
func (g *LoadTable) current(c change) bool {
	n, ok := g.known[c.target]
	return ok && n.changed == c.counter
}

// sweep forgets targets that nobody sends to any more.
func (g *LoadTable) sweep(now time.Time) {
	if now.Before(g.sweepAt) {
		return
	}
	g.sweepAt = now.Add(forgetAfter)
	for target, n := range g.known {
		if now.Sub(n.all.at) >= forgetAfter {
			delete(g.known, target)
		}
	}
}

// Counter counts the changes so far.
func (g *LoadTable) Counter() uint64 { return g.counter }

// Since returns the loads that changed after a count.
func (g *LoadTable) Since(counter uint64) []Reading {
	at, _ := slices.BinarySearchFunc(g.order, counter+1, func(c change, wanted uint64) int {
		return int(int64(c.counter) - int64(wanted))
	})
	var out []Reading
	for _, c := range g.order[at:] {
		if g.current(c) {
			out = append(out, Reading{c.target, float64(g.known[c.target].level) / levelParts})
		}
	}
	return out
}

// Local returns the loads that entry instances told here after a time, for the other controllers of the region.
func (g *LoadTable) Local(after time.Time) []Reading {
	var out []Reading
	for target, n := range g.known {
		if n.near.at.After(after) {
			out = append(out, Reading{target, n.near.perSlot})
		}
	}
	return out
}

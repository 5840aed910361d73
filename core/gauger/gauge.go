package gauger

import (
	"slices"
	"time"
)

const (
	// decayTime is the time in which an observation loses about two thirds of its weight: long enough for a mean of
	// many short requests, short enough to follow a peak.
	decayTime = time.Second
	// minLevelChange is the number of levels by which a load has to change to be published before republishInterval is
	// over. Smaller changes are insignificant, and each costs traffic to hundreds of instances.
	minLevelChange = 2
	// republishInterval is the time after which the next reading publishes an unchanged load again. A load that has not
	// been published for long is taken for unknown.
	republishInterval = 2 * time.Second
	// maxTargets limits the targets in the table. A target without readings for targetExpiry is removed.
	maxTargets   = 1 << 16
	targetExpiry = 10 * time.Second
)

// LoadTable holds the targets' loads that a controller receives from the entry instances of its region, directly and
// through the region's other controllers. The zero value is ready; it is not safe for concurrent use.
type LoadTable struct {
	targets map[uint32]*targetLoad
	changes []change
	counter uint64
	sweepAt time.Time
}

// targetLoad is the smoothed load of one target.
type targetLoad struct {
	// all is the mean over all readings, local over those received directly from entry instances.
	all   mean
	local mean
	// level was published last; changed is the counter of that change.
	level       byte
	changed     uint64
	publishedAt time.Time
}

// change records that a target's load was published; it is obsolete once the load is published again.
type change struct {
	counter uint64
	target  uint32
}

// mean is a smoothed load with the total weight of its observations, as of a time.
type mean struct {
	perSlot float64
	weight  float64
	at      time.Time
}

func (m *mean) add(now time.Time, perSlot float64) {
	oldWeight := m.weight * Decay(now.Sub(m.at), decayTime)
	m.perSlot = (m.perSlot*oldWeight + perSlot) / (oldWeight + 1)
	m.weight, m.at = oldWeight+1, now
}

// Record adds readings. Local readings come from entry instances, all others from another controller. Targets beyond
// maxTargets are ignored.
func (g *LoadTable) Record(now time.Time, readings []Reading, local bool) {
	if g.targets == nil {
		g.targets = map[uint32]*targetLoad{}
	}
	g.sweep(now)
	for _, r := range readings {
		load, ok := g.targets[r.Target]
		if !ok {
			if len(g.targets) >= maxTargets {
				continue
			}
			load = &targetLoad{}
			g.targets[r.Target] = load
		}
		load.all.add(now, r.PerSlot)
		if local {
			load.local.add(now, r.PerSlot)
		}
		if next := level(load.all.perSlot); levelDistance(next, load.level) >= minLevelChange ||
			now.Sub(load.publishedAt) >= republishInterval {
			g.publish(now, r.Target, load, next)
		}
	}
}

func levelDistance(a, b byte) int { return int(max(a, b)) - int(min(a, b)) }

func (g *LoadTable) publish(now time.Time, target uint32, load *targetLoad, level byte) {
	g.counter++
	load.level, load.changed, load.publishedAt = level, g.counter, now
	if len(g.changes) > 2*len(g.targets)+1 {
		g.changes = slices.DeleteFunc(g.changes, func(c change) bool { return !g.current(c) })
	}
	g.changes = append(g.changes, change{g.counter, target})
}

// current reports whether a change is the latest one of its target.
func (g *LoadTable) current(c change) bool {
	load, ok := g.targets[c.target]
	return ok && load.changed == c.counter
}

// sweep removes targets without readings for targetExpiry; it runs at most once in that time.
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

// Counter returns the number of changes so far.
func (g *LoadTable) Counter() uint64 { return g.counter }

// Since returns the loads that were published after Counter had returned the given value.
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

// Local returns the loads for which entry instances sent readings here after a time, for the region's other
// controllers.
func (g *LoadTable) Local(after time.Time) []Reading {
	var out []Reading
	for target, n := range g.targets {
		if n.local.at.After(after) {
			out = append(out, Reading{target, n.local.perSlot})
		}
	}
	return out
}

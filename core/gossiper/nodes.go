package gossiper

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

const (
	// instanceTimeout is how long an entry instance counts as live after it was last observed; it calls at least every
	// second.
	instanceTimeout = 3 * time.Second
	// maxRemoved is how many removed entry instances are kept, so that their removal can be sent as a change. A watcher
	// that has missed more receives the full list.
	maxRemoved = 128
)

// observation is an entry instance as last observed.
type observation struct {
	instance   *wire.Node
	observedAt time.Time
	direct     bool
	// changed is the counter at which it last changed.
	changed uint64
}

// removal is an entry instance that has expired, and the counter at which it was removed.
type removal struct {
	name    string
	changed uint64
}

// instances tracks the entry instances. Watchers receive changes only: with a hundred entry instances, the full list
// each time one of them stops or starts would be most of the traffic on the watchers' links.
type instances struct {
	active  map[string]*observation
	removed []removal
	// changeLog lists the changes of those in active.
	changeLog changeLog
	// evictedUpTo is the counter of the newest removal that is no longer in removed.
	evictedUpTo uint64
}

// observe records that an instance was observed at a time, and returns the change counter.
func (n *instances) observe(instance *wire.Node, at time.Time, direct bool, counter uint64) uint64 {
	if n.active == nil {
		n.active = map[string]*observation{}
	}
	old, ok := n.active[instance.GetName()]
	if ok && !at.After(old.observedAt) {
		return counter
	}
	next := &observation{instance: instance, observedAt: at, direct: direct}
	n.active[instance.GetName()] = next
	if ok && proto.Equal(old.instance, instance) {
		next.changed = old.changed
		return counter
	}
	next.changed = counter + 1
	n.changeLog.add(next.changed, instance.GetName(), n.lastChange)
	return next.changed
}

// lastChange returns the counter at which an active instance last changed, or 0 for others.
func (n *instances) lastChange(name string) uint64 {
	if s, ok := n.active[name]; ok {
		return s.changed
	}
	return 0
}

// expire removes the instances not observed within instanceTimeout, and returns the change counter.
func (n *instances) expire(now time.Time, counter uint64) uint64 {
	for _, name := range slices.Sorted(maps.Keys(n.active)) {
		if now.Sub(n.active[name].observedAt) <= instanceTimeout {
			continue
		}
		delete(n.active, name)
		counter++
		n.removed = append(n.removed, removal{name, counter})
	}
	if extra := len(n.removed) - maxRemoved; extra > 0 {
		n.evictedUpTo = n.removed[extra-1].changed
		n.removed = slices.Delete(n.removed, 0, extra)
	}
	return counter
}

// live returns the instances observed within instanceTimeout, sorted by name.
func (n *instances) live(now time.Time) []*wire.Seen {
	var out []*wire.Seen
	for _, name := range slices.Sorted(maps.Keys(n.active)) {
		if s := n.active[name]; now.Sub(s.observedAt) <= instanceTimeout {
			out = append(out, &wire.Seen{Node: s.instance, Age: int64(now.Sub(s.observedAt))})
		}
	}
	return out
}

// since returns the changes after a counter and up to another, or the full list and true for a new watcher or if some of
// the removals are no longer kept.
func (n *instances) since(now time.Time, counter, upTo uint64) ([]*wire.Seen, bool) {
	if counter == 0 || counter < n.evictedUpTo {
		return n.live(now), true
	}
	var out []*wire.Seen
	for _, g := range n.removed {
		if _, activeAgain := n.active[g.name]; g.changed > counter && g.changed <= upTo && !activeAgain {
			out = append(out, &wire.Seen{Node: &wire.Node{Name: g.name, Lost: true}})
		}
	}
	for _, name := range n.changeLog.part(counter, upTo, 0, n.lastChange).names {
		out = append(out, &wire.Seen{Node: n.active[name].instance})
	}
	return out, false
}

// connected returns the instances that call this controller directly.
func (n *instances) connected(now time.Time) []*wire.Seen {
	var out []*wire.Seen
	for _, s := range n.active {
		if s.direct {
			out = append(out, &wire.Seen{Node: s.instance, Age: int64(now.Sub(s.observedAt))})
		}
	}
	return out
}

// ObserveInstance records a call of an entry instance to this controller.
func (g *Gossiper) ObserveInstance(now time.Time, n *wire.Node) {
	g.init()
	g.recordInstances(g.instances.observe(n, now, true, g.counter), stops(n), true)
}

// stops reports whether an entry instance stops. One that starts counts as leaving, too, but was not in use before.
func stops(n *wire.Node) bool { return n.GetLeaving() && !n.GetStarting() }

// recordInstances sets the counter to its value after an observation of entry instances, and the marks if that was a
// change. It is urgent if it takes instances out of use, and direct if this controller has to send it to the others.
func (g *Gossiper) recordInstances(counter uint64, urgent, direct bool) {
	if counter == g.counter {
		return
	}
	g.counter, g.marks.Watched = counter, counter
	if urgent {
		g.marks.Urgent = counter
	}
	if direct {
		g.marks.Outgoing = counter
	}
	if urgent && direct {
		g.marks.UrgentOutgoing = counter
	}
}

// Instances returns the entry instances observed by any controller within instanceTimeout, sorted by name.
func (g *Gossiper) Instances(now time.Time) []*wire.Seen { return g.instances.live(now) }

package gossiper

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

const (
	// instanceTimeout is how long an entry instance counts after it was last heard; it asks at least every second.
	instanceTimeout = 3 * time.Second
	// maxRemoved is how many entry instances that are gone can still be told as a change. A watcher that missed more
	// gets the whole list.
	maxRemoved = 128
)

// observation is an entry instance as last heard.
type observation struct {
	instance   *wire.Node
	observedAt time.Time
	direct     bool
	// changed is the count at which it last changed.
	changed uint64
}

// removal is an entry instance that is heard no more.
type removal struct {
	name    string
	changed uint64
}

// instances keeps the entry instances. Watchers are told of changes only: with a hundred entry instances, the list each time
// one of them stops or starts would be most of what their links carry.
type instances struct {
	active  map[string]*observation
	removed []removal
	// changeLog lists the changes of those in seen.
	changeLog changeLog
	// evictedUpTo is the count of the newest change that is no longer in gone.
	evictedUpTo uint64
}

// observe notes an instance as heard at a time, and returns the count of changes.
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

// lastChange tells the count at which an instance that is heard changed lastChange, zero for others.
func (n *instances) lastChange(name string) uint64 {
	if s, ok := n.active[name]; ok {
		return s.changed
	}
	return 0
}

// expire drops what was not heard for long, and returns the count of changes.
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

// live returns the instances heard lately, by name.
func (n *instances) live(now time.Time) []*wire.Seen {
	var out []*wire.Seen
	for _, name := range slices.Sorted(maps.Keys(n.active)) {
		if s := n.active[name]; now.Sub(s.observedAt) <= instanceTimeout {
			out = append(out, &wire.Seen{Node: s.instance, Age: int64(now.Sub(s.observedAt))})
		}
	}
	return out
}

// since returns what changed after a count, or all with true where that is not known.
func (n *instances) since(now time.Time, counter uint64) ([]*wire.Seen, bool) {
	if counter == 0 || counter < n.evictedUpTo {
		return n.live(now), true
	}
	var out []*wire.Seen
	for _, g := range n.removed {
		if _, back := n.active[g.name]; g.changed > counter && !back {
			out = append(out, &wire.Seen{Node: &wire.Node{Name: g.name, Lost: true}})
		}
	}
	for _, name := range n.changeLog.since(counter, n.lastChange) {
		out = append(out, &wire.Seen{Node: n.active[name].instance})
	}
	return out, false
}

// connected returns the instances that call here.
func (n *instances) connected(now time.Time) []*wire.Seen {
	var out []*wire.Seen
	for _, s := range n.active {
		if s.direct {
			out = append(out, &wire.Seen{Node: s.instance, Age: int64(now.Sub(s.observedAt))})
		}
	}
	return out
}

// ObserveInstance notes an entry instance's own call.
func (g *Gossiper) ObserveInstance(now time.Time, n *wire.Node) {
	g.init()
	g.counter = g.instances.observe(n, now, true, g.counter)
}

// Instances returns the entry instances heard lately, by name.
func (g *Gossiper) Instances(now time.Time) []*wire.Seen { return g.instances.live(now) }

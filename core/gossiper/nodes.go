package gossiper

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

const (
	// nodeLife is how long an entry instance counts after it was last heard; it asks at least every second.
	nodeLife = 3 * time.Second
	// rememberGone is how many entry instances that are gone can still be told as a change. A watcher that missed more
	// gets the whole list.
	rememberGone = 128
)

// sighting is an entry instance as last heard.
type sighting struct {
	node    *wire.Node
	heardAt time.Time
	home    bool
	// changed is the count at which it last changed.
	changed uint64
}

// gone is an entry instance that is heard no more.
type gone struct {
	name    string
	changed uint64
}

// nodes keeps the entry instances. Watchers are told of changes only: with a hundred entry instances, the list each time
// one of them stops or starts would be most of what their links carry.
type nodes struct {
	seen map[string]*sighting
	gone []gone
	// trail lists the changes of those in seen.
	trail trail
	// forgotten is the count of the newest change that is no longer in gone.
	forgotten uint64
}

// sight notes an instance as heard at a time, and returns the count of changes.
func (n *nodes) sight(node *wire.Node, at time.Time, home bool, counter uint64) uint64 {
	if n.seen == nil {
		n.seen = map[string]*sighting{}
	}
	old, ok := n.seen[node.GetName()]
	if ok && !at.After(old.heardAt) {
		return counter
	}
	next := &sighting{node: node, heardAt: at, home: home}
	n.seen[node.GetName()] = next
	if ok && proto.Equal(old.node, node) {
		next.changed = old.changed
		return counter
	}
	next.changed = counter + 1
	n.trail.add(next.changed, node.GetName(), n.last)
	return next.changed
}

// last tells the count at which an instance that is heard changed last, zero for others.
func (n *nodes) last(name string) uint64 {
	if s, ok := n.seen[name]; ok {
		return s.changed
	}
	return 0
}

// tick drops what was not heard for long, and returns the count of changes.
func (n *nodes) tick(now time.Time, counter uint64) uint64 {
	for _, name := range slices.Sorted(maps.Keys(n.seen)) {
		if now.Sub(n.seen[name].heardAt) <= nodeLife {
			continue
		}
		delete(n.seen, name)
		counter++
		n.gone = append(n.gone, gone{name, counter})
	}
	if extra := len(n.gone) - rememberGone; extra > 0 {
		n.forgotten = n.gone[extra-1].changed
		n.gone = slices.Delete(n.gone, 0, extra)
	}
	return counter
}

// live returns the instances heard lately, by name.
func (n *nodes) live(now time.Time) []*wire.Seen {
	var out []*wire.Seen
	for _, name := range slices.Sorted(maps.Keys(n.seen)) {
		if s := n.seen[name]; now.Sub(s.heardAt) <= nodeLife {
			out = append(out, &wire.Seen{Node: s.node, Age: int64(now.Sub(s.heardAt))})
		}
	}
	return out
}

// since returns what changed after a count, or all with true where that is not known.
func (n *nodes) since(now time.Time, counter uint64) ([]*wire.Seen, bool) {
	if counter == 0 || counter < n.forgotten {
		return n.live(now), true
	}
	var out []*wire.Seen
	for _, g := range n.gone {
		if _, back := n.seen[g.name]; g.changed > counter && !back {
			out = append(out, &wire.Seen{Node: &wire.Node{Name: g.name, Lost: true}})
		}
	}
	for _, name := range n.trail.since(counter, n.last) {
		out = append(out, &wire.Seen{Node: n.seen[name].node})
	}
	return out, false
}

// own returns the instances that call here.
func (n *nodes) own(now time.Time) []*wire.Seen {
	var out []*wire.Seen
	for _, s := range n.seen {
		if s.home {
			out = append(out, &wire.Seen{Node: s.node, Age: int64(now.Sub(s.heardAt))})
		}
	}
	return out
}

// ObserveInstance notes an entry instance's own call.
func (g *Gossiper) ObserveInstance(now time.Time, n *wire.Node) {
	g.init()
	g.counter = g.nodes.sight(n, now, true, g.counter)
}

// Instances returns the entry instances heard lately, by name.
func (g *Gossiper) Instances(now time.Time) []*wire.Seen { return g.nodes.live(now) }

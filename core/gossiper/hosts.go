package gossiper

import (
	"maps"
	"slices"

	"chervilrail.example/core/wire"
)

// maxHosts bounds the remembered hosts. Beyond it, those that changed longest ago go.
const maxHosts = 1 << 16

// hosts remembers at which target each object is kept warm. It answers the restart of all entry instances at once: they
// come back without memory while the targets still have their objects warm, and would run each one cold elsewhere.
type hosts struct {
	known   map[hosted]*hostMark
	counter uint64
}

// hosted names an object of a region.
type hosted struct {
	object uint64
	region string
}

type hostMark struct {
	host    *wire.Host
	changed uint64
	// own is set for what entry instances told this controller itself.
	own bool
}

// learn takes hosts; own tells that they came from entry instances or from the disk.
func (h *hosts) learn(list []*wire.Host, own bool) {
	if h.known == nil {
		h.known = map[hosted]*hostMark{}
	}
	for _, host := range list {
		key := hosted{host.GetObject(), host.GetRegion()}
		if old, ok := h.known[key]; ok && old.host.GetTarget() == host.GetTarget() {
			continue
		}
		h.counter++
		h.known[key] = &hostMark{host, h.counter, own}
	}
	h.shrink()
}

func (h *hosts) shrink() {
	if len(h.known) <= maxHosts {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(h.known), func(a, b hosted) int {
		return int(h.known[a].changed) - int(h.known[b].changed)
	})
	for _, key := range oldest[:len(oldest)-maxHosts] {
		delete(h.known, key)
	}
}

// list returns the wanted hosts, oldest change first.
func (h *hosts) list(wanted func(m *hostMark) bool) []*wire.Host {
	var marks []*hostMark
	for _, m := range h.known {
		if wanted(m) {
			marks = append(marks, m)
		}
	}
	slices.SortFunc(marks, func(a, b *hostMark) int { return int(a.changed) - int(b.changed) })
	out := make([]*wire.Host, 0, len(marks))
	for _, m := range marks {
		out = append(out, m.host)
	}
	return out
}

// forget drops the hosts at a target.
func (h *hosts) forget(target string) {
	before := len(h.known)
	maps.DeleteFunc(h.known, func(_ hosted, m *hostMark) bool { return m.host.GetTarget() == target })
	if len(h.known) < before {
		h.counter++
	}
}

// Settle takes the hosts that an entry instance tells, or that were on the disk.
func (g *Gossiper) Settle(list []*wire.Host) { g.settle(list, true) }

// settle takes hosts, but for those at targets that have left: an entry instance that is told such a host after a start
// waits for the target to announce itself, and refuses the object's requests meanwhile.
func (g *Gossiper) settle(list []*wire.Host, own bool) {
	g.hosts.learn(slices.DeleteFunc(slices.Clone(list), func(h *wire.Host) bool { return g.left(h.GetTarget()) }), own)
}

// left reports whether a target is known to have left, or to be about to.
func (g *Gossiper) left(target string) bool {
	record, ok := g.targets.Get(target)
	return ok && record.GetState() != wire.TargetState_TARGET_READY
}

// Hosts returns the hosts that a region's entry instances told, or all for an empty region.
func (g *Gossiper) Hosts(region string) []*wire.Host {
	return g.hosts.list(func(m *hostMark) bool { return region == "" || m.host.GetRegion() == region })
}

// HostsChanged counts the changes of hosts so far.
func (g *Gossiper) HostsChanged() uint64 { return g.hosts.counter }

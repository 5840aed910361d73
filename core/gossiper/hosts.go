package gossiper

import (
	"maps"
	"slices"
	"strconv"

	"chervilrail.example/core/placer"
	"chervilrail.example/core/wire"
)

// maxHosts bounds the remembered hosts. Beyond it, those that changed longest ago go.
const maxHosts = 1 << 16

// hosts remembers at which target each object is kept warm. It answers the restart of all entry instances at once: they
// come back without memory while the targets still have their objects warm, and would run each one cold elsewhere.
type hosts struct {
	// known holds them by the names that keyOf gives.
	known   map[string]*hostMark
	trail   trail
	counter uint64
}

type hostMark struct {
	host    *wire.Host
	changed uint64
	// own is set for what entry instances told this controller itself.
	own bool
}

// keyOf names an object of a region.
func keyOf(h *wire.Host) string { return strconv.FormatUint(h.GetObject(), 16) + "/" + h.GetRegion() }

// learn takes hosts; own tells that they came from entry instances or from the disk.
func (h *hosts) learn(list []*wire.Host, own bool) {
	if h.known == nil {
		h.known = map[string]*hostMark{}
	}
	for _, host := range list {
		key := keyOf(host)
		if old, ok := h.known[key]; ok && !supersedes(host, old.host) {
			continue
		}
		h.counter++
		h.known[key] = &hostMark{host, h.counter, own}
		h.trail.add(h.counter, key, h.last)
	}
	h.shrink()
}

func supersedes(next, old *wire.Host) bool {
	return placer.Supersedes(next.GetVersion(), next.GetTarget(), old.GetVersion(), old.GetTarget())
}

// last tells the count at which a host changed last, zero if it is not known.
func (h *hosts) last(key string) uint64 {
	if m, ok := h.known[key]; ok {
		return m.changed
	}
	return 0
}

func (h *hosts) shrink() {
	if len(h.known) <= maxHosts {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(h.known), func(a, b string) int {
		return int(h.known[a].changed) - int(h.known[b].changed)
	})
	for _, key := range oldest[:len(oldest)-maxHosts] {
		delete(h.known, key)
	}
}

// since returns the wanted hosts that changed after a count, oldest change first.
func (h *hosts) since(counter uint64, wanted func(m *hostMark) bool) []*wire.Host {
	var out []*wire.Host
	for _, key := range h.trail.since(counter, h.last) {
		if m := h.known[key]; wanted(m) {
			out = append(out, m.host)
		}
	}
	return out
}

// forget drops the hosts at a target.
func (h *hosts) forget(target string) {
	before := len(h.known)
	maps.DeleteFunc(h.known, func(_ string, m *hostMark) bool { return m.host.GetTarget() == target })
	if len(h.known) < before {
		h.counter++
	}
}

// UpdateHosts takes the hosts that an entry instance tells, or that were on the disk.
func (g *Gossiper) UpdateHosts(list []*wire.Host) { g.settle(list, true) }

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

// HostsSince returns the hosts of a region that changed after a count, of all regions for an empty one.
func (g *Gossiper) HostsSince(region string, counter uint64) []*wire.Host {
	return g.hosts.since(counter, func(m *hostMark) bool { return region == "" || m.host.GetRegion() == region })
}

// HostsCounter counts the changes of hosts so far.
func (g *Gossiper) HostsCounter() uint64 { return g.hosts.counter }

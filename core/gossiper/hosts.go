package gossiper

import (
	"maps"
	"slices"
	"strconv"

	"chervilrail.example/core/placer"
	"chervilrail.example/core/wire"
)

// maxHosts bounds the number of hosts kept. Beyond it, those that changed longest ago are evicted.
const maxHosts = 1 << 16

// hosts records at which target each object is kept warm. When all entry instances restart at once, they lose their own
// records of it while the targets still hold their objects warm; without this copy, each object would be run cold at
// another target.
type hosts struct {
	// byKey holds the hosts by the keys that keyOf returns.
	byKey     map[string]*hostEntry
	changeLog changeLog
	counter   uint64
}

type hostEntry struct {
	host    *wire.Host
	changed uint64
	// local is set for hosts that entry instances reported to this controller or that were read from its disk, as
	// opposed to those received from other controllers.
	local bool
}

// keyOf returns the key of an object in a region.
func keyOf(h *wire.Host) string { return strconv.FormatUint(h.GetObject(), 16) + "/" + h.GetRegion() }

// merge adds the hosts that are new or supersede the stored ones; local is set for those from entry instances or from
// the disk.
func (h *hosts) merge(list []*wire.Host, local bool) {
	if h.byKey == nil {
		h.byKey = map[string]*hostEntry{}
	}
	for _, host := range list {
		key := keyOf(host)
		if old, ok := h.byKey[key]; ok && !supersedes(host, old.host) {
			continue
		}
		h.counter++
		h.byKey[key] = &hostEntry{host, h.counter, local}
		h.changeLog.add(h.counter, key, h.lastChange)
	}
	h.evictOldest()
}

func supersedes(next, old *wire.Host) bool {
	return placer.Supersedes(next.GetVersion(), next.GetTarget(), old.GetVersion(), old.GetTarget())
}

// lastChange returns the counter at which a host last changed, or 0 if it is not stored.
func (h *hosts) lastChange(key string) uint64 {
	if m, ok := h.byKey[key]; ok {
		return m.changed
	}
	return 0
}

func (h *hosts) evictOldest() {
	if len(h.byKey) <= maxHosts {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(h.byKey), func(a, b string) int {
		return int(h.byKey[a].changed) - int(h.byKey[b].changed)
	})
	for _, key := range oldest[:len(oldest)-maxHosts] {
		delete(h.byKey, key)
	}
}

// since returns the wanted hosts that changed after a counter, oldest change first.
func (h *hosts) since(counter uint64, wanted func(m *hostEntry) bool) []*wire.Host {
	var out []*wire.Host
	for _, key := range h.changeLog.since(counter, h.lastChange) {
		if m := h.byKey[key]; wanted(m) {
			out = append(out, m.host)
		}
	}
	return out
}

// removeTarget removes the hosts at a target.
func (h *hosts) removeTarget(target string) {
	before := len(h.byKey)
	maps.DeleteFunc(h.byKey, func(_ string, m *hostEntry) bool { return m.host.GetTarget() == target })
	if len(h.byKey) < before {
		h.counter++
	}
}

// UpdateHosts merges the hosts that an entry instance reported, or that were read from the disk.
func (g *Gossiper) UpdateHosts(list []*wire.Host) { g.mergeHosts(list, true) }

// mergeHosts merges hosts, except those at targets that have left: an entry instance that receives such a host after a
// start waits for the target to announce itself, and refuses the object's requests meanwhile.
func (g *Gossiper) mergeHosts(list []*wire.Host, local bool) {
	g.hosts.merge(
		slices.DeleteFunc(slices.Clone(list), func(h *wire.Host) bool { return g.hasLeft(h.GetTarget()) }), local,
	)
}

// hasLeft reports whether a target is known to be leaving or to have left.
func (g *Gossiper) hasLeft(target string) bool {
	record, ok := g.targets.Get(target)
	return ok && record.GetState() != wire.TargetState_TARGET_READY
}

// HostsSince returns the hosts of a region that changed after a counter, or those of all regions if the region is
// empty.
func (g *Gossiper) HostsSince(region string, counter uint64) []*wire.Host {
	return g.hosts.since(counter, func(m *hostEntry) bool { return region == "" || m.host.GetRegion() == region })
}

// HostsCounter returns the current counter of host changes.
func (g *Gossiper) HostsCounter() uint64 { return g.hosts.counter }

// Package selector chooses the entry instances that a client should use.
package selector

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilrail.example/core/wire"
)

// answerTTL is how long a client may cache an answer. A stopped entry instance must be out of use within seconds, and
// some clients cache answers three times as long as they may.
const answerTTL = 2 * time.Second

// maxInstances is the maximum number of entry instances in one answer. Clients use no more than that of an answer.
const maxInstances = 64

// InstanceLister lists the recently observed entry instances.
type InstanceLister interface {
	EntryInstances() []*wire.Seen
}

// Selector answers look-ups of clients. Set the exported fields before use.
type Selector struct {
	InstanceLister InstanceLister
}

// Select returns the entry instances for a client of a region, and until when the answer is valid. Instances of other
// regions are returned only if the region has none. Instances that are stopping are left out. The availability zone is
// not used.
func (s *Selector) Select(client netip.Addr, region, _ string, now time.Time) ([]netip.AddrPort, time.Time) {
	var near, all group
	for _, instance := range s.InstanceLister.EntryInstances() {
		n := instance.GetNode()
		address, err := netip.ParseAddrPort(n.GetCaller())
		if err != nil || n.GetLeaving() && !n.GetStarting() {
			continue
		}
		all.add(address, n.GetStarting())
		if n.GetRegion() == region {
			near.add(address, n.GetStarting())
		}
	}
	if near.empty() {
		near = all
	}
	return truncate(client, near.usable()), now.Add(answerTTL)
}

// group is the entry instances that may serve a client.
type group struct {
	ready, starting []netip.AddrPort
}

func (g *group) add(a netip.AddrPort, starting bool) {
	if starting {
		g.starting = append(g.starting, a)
		return
	}
	g.ready = append(g.ready, a)
}

func (g *group) empty() bool { return len(g.ready)+len(g.starting) == 0 }

// usable returns the ready instances, and the starting ones too while they are the majority. After a restart of all
// instances, the first few ready ones would otherwise receive all requests for as long as clients cache their answers,
// and would have no capacity left for the updates of the controllers.
func (g *group) usable() []netip.AddrPort {
	if len(g.ready) >= len(g.starting) {
		return g.ready
	}
	return slices.Concat(g.ready, g.starting)
}

// truncate returns maxInstances instances at most, starting at a place in the list that differs between clients. If all
// clients got the start of the list, the instances there would carry all load while the others are idle.
func truncate(client netip.Addr, list []netip.AddrPort) []netip.AddrPort {
	if len(list) <= maxInstances {
		return list
	}
	at := int(xxhash.Sum64(client.AsSlice()) % uint64(len(list)))
	return slices.Concat(list[at:], list[:at])[:maxInstances]
}

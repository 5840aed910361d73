// Package selector chooses the entry instances that a client is told to use.
package selector

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilrail.example/core/wire"
)

// answerLife is how long a client may keep an answer. A stopped entry instance must be out of use within seconds,
// and some clients keep answers three times as long as they are told.
const answerLife = 2 * time.Second

// maxAnswers is how many entry instances one answer names: as many as clients take from one.
const maxAnswers = 64

// InstanceLister lists the entry instances heard lately.
type InstanceLister interface {
	EntryInstances() []*wire.Seen
}

// Selector answers clients. Set the exported fields before use.
type Selector struct {
	InstanceLister InstanceLister
}

// Select returns the entry instances for a client of a region and availability zone, and until when that holds.
func (s *Selector) Select(client netip.Addr, region, _ string, now time.Time) ([]netip.AddrPort, time.Time) {
	var near, all group
	for _, seen := range s.InstanceLister.EntryInstances() {
		n := seen.GetNode()
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
	return some(client, near.named()), now.Add(answerLife)
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

// named lists the instances to use: those that are ready, and the starting ones as long as they are more. After a restart
// of all, the first few that are ready would else get everybody's requests for as long as clients keep their answers,
// and have no room left for what the controllers tell them.
func (g *group) named() []netip.AddrPort {
	if len(g.ready) >= len(g.starting) {
		return g.ready
	}
	return slices.Concat(g.ready, g.starting)
}

// some names as many as fit, from a place in the list that differs between clients: the first of the list alone would
// carry everything while the others idle.
func some(client netip.Addr, list []netip.AddrPort) []netip.AddrPort {
	if len(list) <= maxAnswers {
		return list
	}
	at := int(xxhash.Sum64(client.AsSlice()) % uint64(len(list)))
	return slices.Concat(list[at:], list[:at])[:maxAnswers]
}

// Package steerer chooses the entry instances that a client is told to use.
package steerer

import (
	"net/netip"
	"time"

	"chervilrail.example/core/wire"
)

// answerLife is how long a client may keep an answer. A stopped entry instance must be out of use within seconds,
// and some clients keep answers three times as long as they are told.
const answerLife = 2 * time.Second

// maxAnswers is how many entry instances one answer names.
const maxAnswers = 16

// Sightings lists the entry instances heard lately.
type Sightings interface {
	Entries() []*wire.Seen
}

// Steerer answers clients. Set the exported fields before use.
type Steerer struct {
	Sightings Sightings
}

// Steer returns the entry instances for a client of a region and availability zone, and until when that holds.
func (s *Steerer) Steer(_ netip.Addr, region, _ string, now time.Time) ([]netip.AddrPort, time.Time) {
	var near, all []netip.AddrPort
	for _, seen := range s.Sightings.Entries() {
		n := seen.GetNode()
		address, err := netip.ParseAddrPort(n.GetCaller())
		if err != nil || n.GetLeaving() {
			continue
		}
		all = append(all, address)
		if n.GetRegion() == region {
			near = append(near, address)
		}
	}
	if len(near) == 0 {
		near = all
	}
	return near[:min(len(near), maxAnswers)], now.Add(answerLife)
}

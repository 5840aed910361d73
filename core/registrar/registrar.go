// Package registrar keeps the newest announcement of every target. It is owned by one goroutine.
package registrar

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/wire"
)

const (
	// Lease is how long an announcement holds; targets announce again well before.
	Lease = 6 * time.Second
	// AnnouncementInterval is how often targets are asked to announce.
	AnnouncementInterval = time.Second
	// MaxTargets bounds the register of one entry instance.
	MaxTargets = 100_000

	// remember is how long the record of a silent target still wards off late announcements.
	remember = time.Hour
	maxName  = 128
	maxSlots = 1 << 16
)

// Registrar holds the records. Its zero value is empty.
type Registrar struct {
	held map[string]*held
	// places names the holder of each address.
	places map[string]string
}

type held struct {
	record *wire.Record
	until  time.Time
}

// Check refuses an announcement that is malformed or that the catalogue does not allow.
func Check(c *cataloguer.Catalogue, r *wire.Record) error {
	if err := CheckFormat(r); err != nil {
		return err
	}
	return checkPlace(c, r)
}

// CheckFormat refuses an announcement that no catalogue could allow.
func CheckFormat(r *wire.Record) error {
	switch {
	case r.GetName() == "" || len(r.GetName()) > maxName:
		return &AnnouncementError{"name", "1 to 128 characters", r.GetName()}
	case r.GetIncarnation() == 0:
		return &AnnouncementError{"incarnation", "a number above 0 that grows with each start", "0"}
	case r.GetSlots() < 1 || r.GetSlots() > maxSlots:
		return &AnnouncementError{"slots", "1 to 65536", number(r.GetSlots())}
	case r.GetLoad() < 0:
		return &AnnouncementError{"load", "0 or more", number(r.GetLoad())}
	}
	if _, err := netip.ParseAddrPort(r.GetAddress()); err != nil {
		return &AnnouncementError{"address", "an IP number and port", r.GetAddress()}
	}
	return nil
}

func checkPlace(c *cataloguer.Catalogue, r *wire.Record) error {
	service, ok := c.Service(r.GetService())
	if !ok {
		return &AnnouncementError{"service", "a service of the catalogue", r.GetService()}
	}
	if !slices.Contains(service.Regions, r.GetRegion()) {
		return &AnnouncementError{"region", "a region that the catalogue allows for the service", r.GetRegion()}
	}
	region, _ := c.Region(r.GetRegion())
	if !slices.Contains(region.Zones, r.GetZone()) {
		return &AnnouncementError{"zone", "an availability zone of the region", r.GetZone()}
	}
	return nil
}

// Merge takes a record if it is newer than what is held, and reports whether it was.
func (g *Registrar) Merge(now time.Time, r *wire.Record) bool {
	if g.held == nil {
		g.held = map[string]*held{}
	}
	old, ok := g.held[r.GetName()]
	if ok && !newer(old.record, r) {
		return false
	}
	if !ok && len(g.held) >= MaxTargets {
		return false
	}
	if !g.takePlace(r) {
		return false
	}
	g.held[r.GetName()] = &held{record: r, until: now.Add(Lease)}
	return true
}

// takePlace gives an address to whoever started last there. A delayed announcement of the former holder would
// otherwise bring requests of its service to the present one; without this, that shows as refusals of targets that
// were asked for another's work.
func (g *Registrar) takePlace(r *wire.Record) bool {
	if r.GetAddress() == "" {
		return true
	}
	if g.places == nil {
		g.places = map[string]string{}
	}
	holder, ok := g.held[g.places[r.GetAddress()]]
	if ok && holder.record.GetName() != r.GetName() && holder.record.GetAddress() == r.GetAddress() {
		if holder.record.GetIncarnation() > r.GetIncarnation() {
			return false
		}
		ended := proto.CloneOf(holder.record)
		ended.State = wire.TargetState_TARGET_GONE
		holder.record = ended
	}
	g.places[r.GetAddress()] = r.GetName()
	return true
}

func sameRun(a, b *wire.Record) bool { return a.GetIncarnation() == b.GetIncarnation() }

// newer orders the announcements of one name: by start, then by state, then by sequence; of equal ones that which says
// less of being usable holds. State goes before sequence because leaving is final and may be passed on by a controller
// that missed the target's last heartbeats.
func newer(old, r *wire.Record) bool {
	if !sameRun(old, r) {
		return r.GetIncarnation() > old.GetIncarnation()
	}
	if r.GetState() != old.GetState() {
		return r.GetState() > old.GetState()
	}
	if r.GetSequence() != old.GetSequence() {
		return r.GetSequence() > old.GetSequence()
	}
	return r.GetSilent() && !old.GetSilent()
}

// Ready returns the ready records of a service whose lease goes on, by name.
func (g *Registrar) Ready(now time.Time, service string) []*wire.Record {
	var out []*wire.Record
	for _, h := range g.held {
		ready := h.record.GetState() == wire.TargetState_TARGET_READY
		if h.record.GetService() == service && ready && now.Before(h.until) {
			out = append(out, h.record)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetName() < out[j].GetName() })
	return out
}

// All returns every record, so that another entry instance can catch up.
func (g *Registrar) All() []*wire.Record {
	out := make([]*wire.Record, 0, len(g.held))
	for _, h := range g.held {
		out = append(out, h.record)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetName() < out[j].GetName() })
	return out
}

// Get returns the record of one target.
func (g *Registrar) Get(name string) (*wire.Record, bool) {
	h, ok := g.held[name]
	if !ok {
		return nil, false
	}
	return h.record, true
}

// Expire forgets records that have been silent for long.
func (g *Registrar) Expire(now time.Time) {
	for name, h := range g.held {
		if now.Sub(h.until) > remember {
			delete(g.held, name)
		}
	}
}

// Package registrar keeps the newest announcement of every target. A Registrar is not safe for concurrent use.
package registrar

import (
	"net/netip"
	"slices"
	"sort"
	"strconv"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/wire"
)

const (
	// Lease is how long an announcement is valid. Targets renew it well before it expires.
	Lease = 6 * time.Second
	// AnnouncementInterval is the interval at which targets are asked to announce themselves.
	AnnouncementInterval = time.Second
	// MaxTargets is the highest number of targets that a Registrar holds.
	MaxTargets = 100_000

	// retention is how long the record of a target is kept after its lease has expired. Until then, delayed older
	// announcements are recognised and refused.
	retention     = time.Hour
	maxNameLength = 128
	maxSlots      = 1 << 16
	// maxNumber is the highest incarnation and sequence. There is room for those that follow it.
	maxNumber = 1 << 62
	// maxCold is the longest time for which a target may say that it is cold; more is a mistake. Until it ends, the target
	// gets few requests, whatever it says later.
	maxCold = 24 * time.Hour
)

// Registrar holds the records. Its zero value is empty.
type Registrar struct {
	registrations map[string]*registration
	// namesByAddress holds the name of the target that claimed each address last.
	namesByAddress map[string]string
	// claims holds the announcements that count as old, by the target.
	claims map[string]*claim
}

type registration struct {
	record  *wire.Record
	expires time.Time
	// mergedAt is when the record was stored.
	mergedAt time.Time
}

// Check returns an AnnouncementError if an announcement is malformed or the catalogue does not allow it.
func Check(c *cataloguer.Catalogue, r *wire.Record) error {
	if err := CheckFormat(r); err != nil {
		return err
	}
	return checkAgainstCatalogue(c, r)
}

// CheckFormat returns an AnnouncementError if an announcement is malformed, whatever the catalogue allows.
func CheckFormat(r *wire.Record) error {
	if err := CheckName(r.GetName()); err != nil {
		return err
	}
	if err := CheckIncarnation(r.GetIncarnation()); err != nil {
		return err
	}
	if !encodable(r) {
		return &AnnouncementError{"service, region, zone", "UTF-8", r.GetService()}
	}
	switch {
	case r.GetIncarnation() == 0:
		return &AnnouncementError{"incarnation", "a number above 0 that grows with each start", "0"}
	case r.GetSequence() > maxNumber:
		return &AnnouncementError{"sequence", "at most 2^62", strconv.FormatUint(r.GetSequence(), 10)}
	case r.GetSlots() < 1 || r.GetSlots() > maxSlots:
		return &AnnouncementError{"slots", "1 to 65536", formatNumber(r.GetSlots())}
	case r.GetLoad() < 0:
		return &AnnouncementError{"load", "0 or more", formatNumber(r.GetLoad())}
	case r.GetCold() > int64(maxCold) || r.GetCold() < -int64(maxCold):
		return &AnnouncementError{"cold", "at most a day", time.Duration(r.GetCold()).String()}
	}
	if !reachable(r.GetAddress()) {
		return &AnnouncementError{"address", "an IP number and port of one target", r.GetAddress()}
	}
	return nil
}

// reachable reports whether a text is an address that names one target, the same for all instances. Connections to an
// unspecified address would be opened to the instance itself.
func reachable(text string) bool {
	address, err := netip.ParseAddrPort(text)
	ip := address.Addr().Unmap()
	broadcast := netip.AddrFrom4([4]byte{255, 255, 255, 255})
	return err == nil && address.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast() &&
		ip != broadcast
}

// CheckName returns an AnnouncementError if a target's name is malformed.
func CheckName(name string) error {
	if name == "" || len(name) > maxNameLength || !utf8.ValidString(name) {
		return &AnnouncementError{"name", "1 to 128 characters in UTF-8", name}
	}
	return nil
}

// CheckIncarnation returns an AnnouncementError if no number could follow an incarnation.
func CheckIncarnation(incarnation uint64) error {
	if incarnation > maxNumber {
		return &AnnouncementError{"incarnation", "at most 2^62", strconv.FormatUint(incarnation, 10)}
	}
	return nil
}

// encodable reports whether a message can hold a record. A message with one that it can't hold is not sent at all, nor
// are the other records in it.
func encodable(r *wire.Record) bool {
	for _, text := range []string{r.GetName(), r.GetService(), r.GetAddress(), r.GetRegion(), r.GetZone()} {
		if !utf8.ValidString(text) {
			return false
		}
	}
	return true
}

// storable reports whether a record may be stored, whoever passed it on. Instances divide slots one by one: for a record
// with too many they would take all their memory.
func storable(r *wire.Record) bool { return encodable(r) && r.GetSlots() <= maxSlots }

func checkAgainstCatalogue(c *cataloguer.Catalogue, r *wire.Record) error {
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

// Merge stores a record with a new lease and reports whether it did. It does not if the stored record of the same
// target is as new or newer, if a target of a higher generation holds the address, if MaxTargets is reached, or if the
// record is not storable.
func (g *Registrar) Merge(now time.Time, r *wire.Record) bool {
	if !storable(r) {
		return false
	}
	if g.registrations == nil {
		g.registrations = map[string]*registration{}
	}
	old, ok := g.registrations[r.GetName()]
	if ok {
		r = join(old.record, r)
	}
	if ok && !Newer(old.record, r) {
		return false
	}
	if !ok && len(g.registrations) >= MaxTargets {
		return false
	}
	if !g.claimAddress(r) {
		return false
	}
	g.registrations[r.GetName()] = &registration{record: r, expires: now.Add(Lease), mergedAt: now}
	delete(g.claims, r.GetName())
	return true
}

// join returns a record with what an earlier one of the same incarnation says for good: that the target leaves, and what
// the incarnation overrides.
func join(old, r *wire.Record) *wire.Record {
	leaves := hasLeft(old) && r.GetState() < old.GetState()
	overrides := r.GetOverrides() < old.GetOverrides()
	if !sameIncarnation(old, r) || !leaves && !overrides {
		return r
	}
	out := proto.CloneOf(r)
	out.Overrides = max(old.GetOverrides(), r.GetOverrides())
	if leaves {
		out.State = old.GetState()
	}
	return out
}

// hasLeft reports whether a target leaves or has left by its own word.
func hasLeft(r *wire.Record) bool {
	return r.GetState() != wire.TargetState_TARGET_READY && !r.GetDisplaced()
}

// claimAddress assigns an address to the target that started last on it. A target that held the address before is
// marked as gone. A delayed announcement of the former holder would otherwise direct requests for its service to the
// present holder; the symptom is that targets refuse requests for another service.
func (g *Registrar) claimAddress(r *wire.Record) bool {
	if r.GetAddress() == "" {
		return true
	}
	if g.namesByAddress == nil {
		g.namesByAddress = map[string]string{}
	}
	if holder, ok := g.holder(r); ok {
		if Generation(holder.record) > Generation(r) {
			return false
		}
		replaced := proto.CloneOf(holder.record)
		replaced.State, replaced.Displaced = wire.TargetState_TARGET_GONE, !hasLeft(replaced)
		holder.record = replaced
	}
	g.namesByAddress[r.GetAddress()] = r.GetName()
	return true
}

func sameIncarnation(a, b *wire.Record) bool { return a.GetIncarnation() == b.GetIncarnation() }

// Generation returns the number that orders the incarnations of a target and the holders of an address.
func Generation(r *wire.Record) uint64 { return max(r.GetIncarnation(), r.GetOverrides()) }

// Newer reports whether announcement r of a target is newer than old. Announcements are ordered by generation, incarnation,
// state and sequence. If all are equal, the silent one counts as newer, because it is the less favourable state. State
// precedes sequence because leaving is final and may be passed on by a controller that missed the target's last
// heartbeats.
func Newer(old, r *wire.Record) bool {
	if Generation(old) != Generation(r) {
		return Generation(r) > Generation(old)
	}
	if !sameIncarnation(old, r) {
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

// Ready returns the records of a service that are ready and whose lease has not expired, sorted by name.
func (g *Registrar) Ready(now time.Time, service string) []*wire.Record {
	var out []*wire.Record
	for _, h := range g.registrations {
		ready := h.record.GetState() == wire.TargetState_TARGET_READY
		if h.record.GetService() == service && ready && now.Before(h.expires) {
			out = append(out, h.record)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetName() < out[j].GetName() })
	return out
}

// All returns every record, sorted by name, so that another entry instance can be brought up to date.
func (g *Registrar) All() []*wire.Record {
	out := make([]*wire.Record, 0, len(g.registrations))
	for _, h := range g.registrations {
		out = append(out, h.record)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetName() < out[j].GetName() })
	return out
}

// Get returns the record of a target and whether there is one, also after its lease has expired.
func (g *Registrar) Get(name string) (*wire.Record, bool) {
	h, ok := g.registrations[name]
	if !ok {
		return nil, false
	}
	return h.record, true
}

// Expire removes the records whose lease expired more than the retention period ago.
func (g *Registrar) Expire(now time.Time) {
	for name, h := range g.registrations {
		if now.Sub(h.expires) > retention {
			delete(g.registrations, name)
		}
	}
}

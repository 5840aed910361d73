package registrar

import (
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

const (
	// claimPeriod is how long a target has to go on announcing itself before it overrides a record with a higher number.
	// Announcements of an incarnation that has ended are late by less, and the period ends before the record would be
	// marked as silent.
	claimPeriod = 4 * time.Second
	// claimCount is the least number of announcements in that period.
	claimCount = 3
)

// claim is a series of announcements that count as old, because of a record with a higher number. Writers choose these
// numbers: a record with one far ahead would silence the target for good, although it goes on announcing itself.
type claim struct {
	incarnation uint64
	sequence    uint64
	count       int
	since       time.Time
}

// add adds an announcement and reports whether the series is long enough. A series goes on only with a higher sequence,
// and begins anew with another incarnation or after notBefore.
func (c *claim) add(now, notBefore time.Time, r *wire.Record) bool {
	if c.count == 0 || c.incarnation != r.GetIncarnation() || c.since.Before(notBefore) {
		*c = claim{incarnation: r.GetIncarnation(), since: now}
	}
	if c.count == 0 || r.GetSequence() > c.sequence {
		c.sequence = r.GetSequence()
		c.count++
	}
	return c.count >= claimCount && now.Sub(c.since) >= claimPeriod
}

// Announce merges a target's own announcement like Merge, and reports whether it stored it. An announcement that counts
// as old is stored, and overrides what stands against it, if the target has gone on announcing itself for claimPeriod
// and nothing else was heard under its name or address. That a target leaves is final for its incarnation, and not
// overridden.
func (g *Registrar) Announce(now time.Time, r *wire.Record) bool {
	old, ok := g.registrations[r.GetName()]
	if ok {
		r = inherit(old.record, r)
	}
	if holder, held := g.holder(r); held {
		r = inherit(holder.record, r)
	}
	if g.Merge(now, r) {
		return true
	}
	if !ok || !encodable(r) || sameIncarnation(old.record, r) && hasLeft(old.record) {
		return false
	}
	generation, heardAt := Generation(old.record), old.mergedAt
	if holder, ok := g.holder(r); ok {
		generation = max(generation, Generation(holder.record))
		heardAt = later(heardAt, holder.mergedAt)
	}
	if !old.claim.add(now, heardAt, r) {
		return false
	}
	overriding := proto.CloneOf(r)
	overriding.Overrides = generation + 1
	return g.Merge(now, overriding)
}

// inherit returns a target's own announcement with what an earlier record of its name or address overrides, if it comes
// from the same incarnation or a later one. It does not if it comes from the one that was overridden, unless that one
// leaves: a target that says so must get no more requests.
func inherit(old, r *wire.Record) *wire.Record {
	if r.GetOverrides() >= old.GetOverrides() || r.GetIncarnation() < old.GetIncarnation() {
		return r
	}
	overridden := old.GetOverrides() - 1
	if !sameIncarnation(old, r) && r.GetIncarnation() >= overridden && !hasLeft(r) {
		return r
	}
	out := proto.CloneOf(r)
	out.Overrides = old.GetOverrides()
	return out
}

// holder returns the registration of another target that holds a record's address.
func (g *Registrar) holder(r *wire.Record) (*registration, bool) {
	name := g.namesByAddress[r.GetAddress()]
	h, ok := g.registrations[name]
	return h, ok && name != r.GetName() && h.record.GetAddress() == r.GetAddress()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

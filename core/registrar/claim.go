package registrar

import (
	"maps"
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
	// maxClaims bounds the series that are kept.
	maxClaims = 10_000
)

// claim is a series of announcements that count as old, because of a record with a higher number. Writers choose these
// numbers: a record with one far ahead would silence the target for good, although it goes on announcing itself.
type claim struct {
	incarnation uint64
	sequence    uint64
	count       int
	// since is when the series began, heardAt when its last announcement arrived.
	since   time.Time
	heardAt time.Time
}

// add adds an announcement and reports whether the series is long enough. A series goes on only with a higher sequence,
// and begins anew with another incarnation, after notBefore, or after a gap.
func (c *claim) add(now, notBefore time.Time, r *wire.Record) bool {
	if c.count == 0 || c.incarnation != r.GetIncarnation() || c.since.Before(notBefore) || now.Sub(c.heardAt) > Lease {
		*c = claim{incarnation: r.GetIncarnation(), since: now}
	}
	c.heardAt = now
	if c.count == 0 || r.GetSequence() > c.sequence {
		c.sequence = r.GetSequence()
		c.count++
	}
	return c.count >= claimCount && now.Sub(c.since) >= claimPeriod
}

// claimOf returns the series of a target, or nil if there are too many.
func (g *Registrar) claimOf(now time.Time, name string) *claim {
	if c, ok := g.claims[name]; ok {
		return c
	}
	if g.claims == nil {
		g.claims = map[string]*claim{}
	}
	if len(g.claims) >= maxClaims {
		maps.DeleteFunc(g.claims, func(_ string, c *claim) bool { return now.Sub(c.heardAt) > Lease })
	}
	if len(g.claims) >= maxClaims {
		return nil
	}
	c := &claim{}
	g.claims[name] = c
	return c
}

// Announce merges a target's own announcement like Merge, and reports whether it stored it. An announcement that counts
// as old is stored, and overrides what stands against it, if the target has gone on announcing itself for claimPeriod
// and nothing else was heard under its name or address. That a target leaves is final for its incarnation, and not
// overridden.
func (g *Registrar) Announce(now time.Time, r *wire.Record) bool {
	old, known := g.registrations[r.GetName()]
	holder, held := g.holder(r)
	if known {
		r = inherit(old.record, r)
	}
	if held {
		r = inherit(holder.record, r)
	}
	if g.Merge(now, r) {
		return true
	}
	if !known && !held || !storable(r) || known && sameIncarnation(old.record, r) && hasLeft(old.record) {
		return false
	}
	generation, heardAt := uint64(0), time.Time{}
	for _, h := range []*registration{old, holder} {
		if h != nil {
			generation, heardAt = max(generation, Generation(h.record)), later(heardAt, h.mergedAt)
		}
	}
	c := g.claimOf(now, r.GetName())
	if c == nil || !c.add(now, heardAt, r) {
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

// holder returns the registration of another target that holds a record's address, or nil and false.
func (g *Registrar) holder(r *wire.Record) (*registration, bool) {
	name := g.namesByAddress[r.GetAddress()]
	h, ok := g.registrations[name]
	if !ok || name == r.GetName() || h.record.GetAddress() != r.GetAddress() {
		return nil, false
	}
	return h, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

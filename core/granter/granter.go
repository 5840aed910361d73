// Package granter divides shared limits among entry instances as leased shares. The shares that could still be in force
// never add up to more than the limit, whatever messages are lost, late or duplicated.
package granter

import (
	"sort"
	"time"

	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/limiter"
	"chervilrail.example/core/wire"
)

// driftDivisor defines the share of a lease that is added for clocks running at different rates: 1/50.
const driftDivisor = 50

// HolderID identifies one run of an entry instance.
type HolderID struct {
	Name        string
	Incarnation uint64
}

// Granter grants shares to holders. It is owned by the leader. Set the exported fields before use.
type Granter struct {
	// Lease is how long a share may be used, counted by the holder from when it sent its request.
	Lease time.Duration
	// ElectedAt is when this leader was elected.
	ElectedAt time.Time

	limits  map[string]cataloguer.Limit
	holders map[HolderID]*holder
}

type holder struct {
	sequence uint64
	// until is when nothing granted to the holder can be in force any more.
	until  time.Time
	shares map[string]*share
}

type share struct {
	// possible is the most that the holder could be using.
	possible int64
	// held is what the holder reported to be in force.
	held   int64
	wanted int64
}

// SetLimits replaces the limits. A lowered limit takes effect as the holders renew or their leases expire.
func (g *Granter) SetLimits(limits []cataloguer.Limit) {
	g.limits = map[string]cataloguer.Limit{}
	for _, l := range limits {
		g.limits[l.Resource] = l
	}
}

// grace returns how long a grant can be in effect after the answer that contains it: the lease, the drift of the
// clocks, and the window over which a holder's use is counted.
func (g *Granter) grace() time.Duration {
	return g.Lease + g.Lease/driftDivisor + limiter.DefaultWindow
}

// Renew answers one request of a holder. It returns a SequenceError for a request older than one already answered.
func (g *Granter) Renew(now time.Time, id HolderID, sequence uint64, holdings []*wire.Holding) ([]*wire.Grant, error) {
	g.expire(now)
	h := g.holder(id)
	if sequence <= h.sequence {
		// A late duplicate reports shares that have changed since; using it could count too little.
		return nil, &SequenceError{Holder: id.Name, Got: sequence, Last: h.sequence}
	}
	h.sequence = sequence
	h.until = now.Add(g.grace())
	g.recordHoldings(h, holdings)
	grants := make([]*wire.Grant, 0, len(holdings))
	for _, o := range holdings {
		grants = append(grants, g.grant(now, id, h, o))
	}
	return grants, nil
}

func (g *Granter) holder(id HolderID) *holder {
	if g.holders == nil {
		g.holders = map[HolderID]*holder{}
	}
	h, ok := g.holders[id]
	if !ok {
		h = &holder{shares: map[string]*share{}}
		g.holders[id] = h
	}
	return h
}

// recordHoldings replaces the holder's shares by those that it reports; what it does not mention it does not hold. The
// holder ignores answers to earlier requests, so no earlier and larger grant can come into force after this report.
func (g *Granter) recordHoldings(h *holder, holdings []*wire.Holding) {
	shares := map[string]*share{}
	for _, o := range holdings {
		shares[o.GetResource()] = &share{
			possible: max(0, o.GetHeld(), o.GetUsed()),
			held:     max(0, o.GetHeld()),
			wanted:   max(0, o.GetWanted()),
		}
	}
	h.shares = shares
}

func (g *Granter) grant(now time.Time, id HolderID, h *holder, o *wire.Holding) *wire.Grant {
	s := h.shares[o.GetResource()]
	limit, ok := g.limits[o.GetResource()]
	if !ok {
		return &wire.Grant{Resource: o.GetResource()}
	}
	amount := min(g.target(limit, id), limit.Cap-g.outstandingExcept(o.GetResource(), id))
	// The previous leader may have granted to holders that have not reported to this one. Until all its grants have
	// expired, a holder keeps at most the share that it has in force. Use that still counts in the holder's window is
	// not proof of such a share: its lease may have expired long before.
	if now.Before(g.ElectedAt.Add(g.grace())) {
		amount = min(amount, s.held)
	}
	amount = max(0, amount)
	s.possible = max(s.possible, amount)
	return &wire.Grant{Resource: o.GetResource(), Share: amount}
}

// outstandingExcept returns the most that holders other than id could be using of a resource.
func (g *Granter) outstandingExcept(resource string, id HolderID) int64 {
	var sum int64
	for o, h := range g.holders {
		if o == id {
			continue
		}
		if s, ok := h.shares[resource]; ok {
			sum += s.possible
		}
	}
	return sum
}

// unclaimedDivisor defines the part of the unclaimed limit that is granted anyway: a half. The other half stays free,
// so that a sudden peak at one instance is granted with its next renewal. If all of it were granted, the peak would
// have to wait until every other instance has renewed twice: once to receive its smaller share, and once to confirm it.
const unclaimedDivisor = 2

// target returns the holder's fair share: the floor for every holder, then what each wants as far as equal parts allow,
// then equal parts of half the unclaimed rest.
func (g *Granter) target(limit cataloguer.Limit, id HolderID) int64 {
	wantedAmounts := g.wantedAmounts(limit)
	count := int64(len(wantedAmounts))
	if count == 0 {
		return 0
	}
	level := waterLevel(wantedAmounts, limit.Cap)
	rest := limit.Cap
	for _, w := range wantedAmounts {
		rest -= min(w, level)
	}
	wanted := g.wantedAmount(limit, g.holders[id])
	return min(wanted, level) + max(0, rest)/unclaimedDivisor/count
}

func (g *Granter) wantedAmounts(limit cataloguer.Limit) []int64 {
	var out []int64
	for _, h := range g.holders {
		if _, ok := h.shares[limit.Resource]; ok {
			out = append(out, g.wantedAmount(limit, h))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (g *Granter) wantedAmount(limit cataloguer.Limit, h *holder) int64 {
	return max(limit.Floor, h.shares[limit.Resource].wanted)
}

// waterLevel returns the largest amount such that the limit suffices if each gets its wanted amount up to that one
// (max-min fairness). The wanted amounts are sorted in ascending order.
func waterLevel(sorted []int64, limit int64) int64 {
	rest := limit
	for i, w := range sorted {
		left := int64(len(sorted) - i)
		if w > rest/left {
			return rest / left
		}
		rest -= w
	}
	return limit
}

func (g *Granter) expire(now time.Time) {
	for id, h := range g.holders {
		if !now.Before(h.until) {
			delete(g.holders, id)
		}
	}
}

// Outstanding returns the most that could be in force of a limit, for status and metrics.
func (g *Granter) Outstanding(now time.Time, resource string) int64 {
	g.expire(now)
	return g.outstandingExcept(resource, HolderID{})
}

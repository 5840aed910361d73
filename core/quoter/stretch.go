package quoter

import (
	"maps"
	"slices"

	"chervilrail.example/core/wire"
)

// relaxPart is the part of the usual part below which an organisation is stretched no longer.
const relaxPart = 0.9

// whole reports whether the parts of an organisation may add up to its whole quota.
func (a *Allotter) whole(name string) bool { return a.stretched[name] && !a.relaxing[name] }

// ToStretch returns organisations whose parts have to be let add up to the whole quota, sorted.
func (a *Allotter) ToStretch() []string { return slices.Sorted(maps.Keys(a.stretching)) }

// ToRelax returns organisations that need no more than the usual part again, sorted. From now on they get no more.
func (a *Allotter) ToRelax() []string {
	if len(a.unknown) > 0 {
		return nil
	}
	for name := range a.stretched {
		q, ok := a.quotas[name]
		if !ok || float64(q.sum) < relaxPart*float64(q.usual()) {
			a.relaxing[name] = true
		}
	}
	return slices.Sorted(maps.Keys(a.relaxing))
}

// ApplyStretch tells that this leader has let the parts of organisations add up to their whole quotas, or ended that; changed
// are those for which that was otherwise before.
func (a *Allotter) ApplyStretch(c *wire.StretchChange, changed []string) {
	for _, name := range c.GetOrganisations() {
		if c.GetOn() {
			delete(a.stretching, name)
			continue
		}
		delete(a.relaxing, name)
	}
	for _, name := range changed {
		a.fresh[name] = c.GetOn()
	}
}

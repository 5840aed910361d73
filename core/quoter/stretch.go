package quoter

import (
	"maps"
	"slices"

	"chervilrail.example/core/wire"
)

// relaxFraction is the part of the usual part below which an organisation is stretched no longer.
const relaxFraction = 0.9

// isStretched reports whether the parts of an organisation may add up to its isStretched quota.
func (a *Allotter) isStretched(name string) bool { return a.stretched[name] && !a.toRelax[name] }

// ToStretch returns organisations whose parts have to be let add up to the whole quota, sorted.
func (a *Allotter) ToStretch() []string { return slices.Sorted(maps.Keys(a.toStretch)) }

// ToRelax returns organisations that need no more than the usual part again, sorted. From now on they get no more.
func (a *Allotter) ToRelax() []string {
	if len(a.unreported) > 0 {
		return nil
	}
	for name := range a.stretched {
		q, ok := a.quotas[name]
		if !ok || float64(q.allotted) < relaxFraction*float64(q.base()) {
			a.toRelax[name] = true
		}
	}
	return slices.Sorted(maps.Keys(a.toRelax))
}

// ApplyStretch tells that this leader has let the parts of organisations add up to their whole quotas, or ended that; changed
// are those for which that was otherwise before.
func (a *Allotter) ApplyStretch(c *wire.StretchChange, changed []string) {
	for _, name := range c.GetOrganisations() {
		if c.GetOn() {
			delete(a.toStretch, name)
			continue
		}
		delete(a.toRelax, name)
	}
	for _, name := range changed {
		a.stretchedInTerm[name] = c.GetOn()
	}
}

package quoter

import (
	"maps"
	"slices"

	"chervilrail.example/core/wire"
)

// relaxFraction is the fraction of the base amount below which an organisation is no longer stretched.
const relaxFraction = 0.9

// isStretched reports whether the parts of an organisation may add up to its whole quota.
func (a *Allotter) isStretched(name string) bool { return a.stretched[name] && !a.toRelax[name] }

// ToStretch returns the organisations that need to be stretched, sorted by name.
func (a *Allotter) ToStretch() []string { return slices.Sorted(maps.Keys(a.toStretch)) }

// ToRelax returns the stretched organisations that the base amount suffices for again, sorted by name. From this call
// on, they are not allotted more than that. It returns nil while some holders have not reported.
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

// ApplyStretch records that a change proposed by this leader was applied, which stretched organisations or ended that.
// changed lists the organisations whose state differed before.
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

package keeper

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// Holders returns the entry instances that may hold parts of quotas, in the order in which they were added. A new
// leader requests what they hold before it allots more.
func (k *Keeper) Holders() []*wire.QuotaHolder { return k.holders }

func (k *Keeper) changeHolder(c *wire.HolderChange) {
	at := slices.IndexFunc(k.holders, func(h *wire.QuotaHolder) bool { return proto.Equal(h, c.GetHolder()) })
	switch {
	case c.GetGone() && at >= 0:
		k.holders = slices.Delete(slices.Clone(k.holders), at, at+1)
	case !c.GetGone() && at < 0:
		k.holders = append(slices.Clone(k.holders), c.GetHolder())
	}
}

// Stretched returns the organisations whose parts may add up to their whole quotas, sorted by name. The parts of all
// other organisations add up to the base amount at most, so that a new leader can allot the rest before all holders
// have reported to it.
func (k *Keeper) Stretched() []string { return k.stretched }

// changeStretched adds organisations to the stretched ones or removes them, and returns those for which this changed
// anything.
func (k *Keeper) changeStretched(c *wire.StretchChange) []string {
	var changed []string
	for _, name := range c.GetOrganisations() {
		next, differs := setMember(k.stretched, name, c.GetOn())
		if differs {
			k.stretched = next
			changed = append(changed, name)
		}
	}
	return changed
}

// setMember returns a sorted list with or without a name, and whether that differs from the given list. The given list
// is not modified, because callers of Stretched and EvacuatedZones may still use it.
func setMember(list []string, name string, member bool) ([]string, bool) {
	at, found := slices.BinarySearch(list, name)
	switch {
	case member == found:
		return list, false
	case member:
		return slices.Insert(slices.Clone(list), at, name), true
	}
	return slices.Delete(slices.Clone(list), at, at+1), true
}

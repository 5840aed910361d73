package keeper

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// Holders returns the entry instances that may hold parts of quotas, in the order in which they were listed. A new leader
// asks them what they hold before it gives out more.
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

// Stretched returns the organisations whose parts may add up to their whole quotas, sorted. Those of all others stay within
// the usual part, so that a new leader has the rest to give before it has heard every holder.
func (k *Keeper) Stretched() []string { return k.stretched }

// stretch returns the organisations that were otherwise before.
func (k *Keeper) stretch(c *wire.StretchChange) []string {
	var changed []string
	for _, name := range c.GetOrganisations() {
		next, other := switched(k.stretched, name, c.GetOn())
		if other {
			k.stretched = next
			changed = append(changed, name)
		}
	}
	return changed
}

// switched returns a sorted list with or without a name, and whether it was otherwise before. The list itself is in use
// elsewhere and stays as it is.
func switched(list []string, name string, on bool) ([]string, bool) {
	at, found := slices.BinarySearch(list, name)
	switch {
	case on == found:
		return list, false
	case on:
		return slices.Insert(slices.Clone(list), at, name), true
	}
	return slices.Delete(slices.Clone(list), at, at+1), true
}

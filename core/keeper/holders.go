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
	next := slices.Clone(k.stretched)
	for _, name := range c.GetOrganisations() {
		at, found := slices.BinarySearch(next, name)
		switch {
		case c.GetOn() && !found:
			next = slices.Insert(next, at, name)
		case !c.GetOn() && found:
			next = slices.Delete(next, at, at+1)
		default:
			continue
		}
		changed = append(changed, name)
	}
	k.stretched = next
	return changed
}

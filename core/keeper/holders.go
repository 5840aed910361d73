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

package consenter

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/storer"
	"chervilrail.example/core/wire"
)

// founderIncarnation is the incarnation of every founder's disk. Founders must agree on the group without having
// spoken to each other, so it can't be drawn by lot; a later disk of the same name draws another.
const founderIncarnation = 1

// found writes the group's first membership on an empty disk. Each founder derives the same bytes from the same
// settings, so that they need no order of start. A disk that is empty later, when Found is no longer set, joins as
// a newcomer: founding again would start a second group and undo every accepted change.
func (c *Consenter) found(recovered *storer.Recovered) error {
	_, founder := c.Peers[c.Member.GetName()]
	if !c.Bootstrap || !founder || recovered.Identity != nil || len(recovered.Entries) > 0 {
		return nil
	}
	config := &wire.Config{}
	var digest xxhash.Digest
	digest.Reset()
	for _, name := range slices.Sorted(maps.Keys(c.Peers)) {
		config.Members = append(config.Members, &wire.Member{
			Name: name, Incarnation: founderIncarnation, Address: c.Peers[name].String(), Voter: true,
		})
		_, _ = digest.WriteString(name + "\n")
	}
	recovered.Snapshot = &wire.Snapshot{Index: 1, Term: 1, Config: config}
	if err := c.store.SaveSnapshot(recovered.Snapshot, false); err != nil {
		return err
	}
	recovered.Identity = &wire.Identity{
		Group: digest.Sum64(),
		Self:  &wire.Member{Name: c.Member.GetName(), Incarnation: founderIncarnation},
	}
	_ = level.Info(c.Logger).Log("msg", "founding", "group", recovered.Identity.GetGroup(), "founders", len(config.GetMembers()))
	return nil
}

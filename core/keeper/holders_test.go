package keeper

import (
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// Guards against a leader that has lost the list of possible holders of quota parts after a restart from a snapshot.
func TestHoldersSurviveASnapshot(t *testing.T) {
	is := is.New(t)
	k := &Keeper{}
	change := func(name string, incarnation uint64, removed bool) {
		k.Apply(&wire.Command{Holder: &wire.HolderChange{
			Holder: &wire.QuotaHolder{Name: name, Incarnation: incarnation}, Gone: removed,
		}})
	}
	change("b", 1, false)
	change("a", 1, false)
	change("b", 2, false)
	change("b", 2, false) // adding a holder is idempotent
	change("c", 1, true)
	change("a", 1, true)
	data, err := k.Snapshot()
	is.NoErr(err)
	restored := &Keeper{}
	is.NoErr(restored.Restore(data))
	is.Equal(len(restored.Holders()), 2)
	is.Equal(restored.Holders()[0].GetIncarnation(), uint64(1))
	is.Equal(restored.Holders()[1].GetIncarnation(), uint64(2)) // in the order in which they were added
}

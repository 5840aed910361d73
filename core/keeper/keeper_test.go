package keeper

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

func change(id string, number uint64) *wire.Command {
	return &wire.Command{At: 1, Change: &wire.Change{Id: id, Number: number, Catalogue: []byte("of " + id)}}
}

// Two operators propose changes of the same number, and one of them resends its change because the answer was lost.
// Exactly one change may be accepted, and a resend must get the same verdict as the first attempt.
func TestResentChangesGetTheirFirstVerdict(t *testing.T) {
	is := is.New(t)
	var k Keeper
	first := k.Apply(change("a", 1)).GetVerdict()
	second := k.Apply(change("b", 1)).GetVerdict()
	is.True(first.GetAccepted())
	is.True(!second.GetAccepted())
	is.Equal(second.GetWinner(), "a")
	k.Apply(change("c", 2))
	is.True(k.Apply(change("a", 1)).GetVerdict().GetAccepted()) // the same verdict as before
	is.True(!k.Apply(change("b", 1)).GetVerdict().GetAccepted())
	is.True(!k.Apply(change("d", 4)).GetVerdict().GetAccepted()) // no gap
	is.Equal(k.CatalogueNumber(), uint64(2))
	is.Equal(string(k.Catalogue()), "of c")
}

func TestRestoredStateAcceptsTheSameChanges(t *testing.T) {
	is := is.New(t)
	var k, copied Keeper
	for i := range uint64(50) {
		k.Apply(change(fmt.Sprint("id", i), i+1))
	}
	data, err := k.Snapshot()
	is.NoErr(err)
	is.NoErr(copied.Restore(data))
	is.True(copied.Apply(change("id7", 8)).GetVerdict().GetAccepted()) // a resend of a recorded change
	is.True(copied.Apply(change("next", 51)).GetVerdict().GetAccepted())
	is.True(copied.Restore([]byte{0xff}) != nil)
}

func TestVerdictsAreBounded(t *testing.T) {
	is := is.New(t)
	var k Keeper
	for i := range uint64(MaxVerdicts + 10) {
		k.Apply(change(fmt.Sprint("id", i), i+1))
	}
	is.Equal(len(k.verdicts), MaxVerdicts)
	is.Equal(k.CatalogueNumber(), uint64(MaxVerdicts+10))
}

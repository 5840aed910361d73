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

// Two operators ask for the same number, and one of them asks again after its answer was lost. Exactly one
// change may win, and asking again must not tell another story than the first answer did.
func TestVerdicts(t *testing.T) {
	is := is.New(t)
	var k Keeper
	first := k.Apply(change("a", 1)).GetVerdict()
	second := k.Apply(change("b", 1)).GetVerdict()
	is.True(first.GetAccepted())
	is.True(!second.GetAccepted())
	is.Equal(second.GetWinner(), "a")
	k.Apply(change("c", 2))
	is.True(k.Apply(change("a", 1)).GetVerdict().GetAccepted()) // as before
	is.True(!k.Apply(change("b", 1)).GetVerdict().GetAccepted())
	is.True(!k.Apply(change("d", 4)).GetVerdict().GetAccepted()) // no gap
	is.Equal(k.CatalogueNumber(), uint64(2))
	is.Equal(string(k.Catalogue()), "of c")
}

func TestRestoredStateGoesOnTheSame(t *testing.T) {
	is := is.New(t)
	var k, copied Keeper
	for i := range uint64(50) {
		k.Apply(change(fmt.Sprint("id", i), i+1))
	}
	data, err := k.Snapshot()
	is.NoErr(err)
	is.NoErr(copied.Restore(data))
	is.True(copied.Apply(change("id7", 8)).GetVerdict().GetAccepted()) // remembered
	is.True(copied.Apply(change("next", 51)).GetVerdict().GetAccepted())
	is.True(copied.Restore([]byte{0xff}) != nil)
}

func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	var k Keeper
	for i := range uint64(Remembered + 10) {
		k.Apply(change(fmt.Sprint("id", i), i+1))
	}
	is.Equal(len(k.answers), Remembered)
	is.Equal(k.CatalogueNumber(), uint64(Remembered+10))
}

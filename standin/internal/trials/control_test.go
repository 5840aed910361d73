package trials

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// killRounds returns how often a controller is killed. The environment variable CHERVILRAIL_ROUNDS sets another number;
// make soak uses it for more rounds.
func killRounds() int {
	if n, err := strconv.Atoi(os.Getenv("CHERVILRAIL_ROUNDS")); err == nil {
		return n
	}
	return 8
}

// Guards against the loss of accepted changes: controllers are killed at random moments while an operator applies
// changes, and every accepted change must be in force after the restart.
func TestKilledControllersKeepAcceptedChanges(t *testing.T) {
	is := is.New(t)
	s := start(t, 3, 1)
	random := rand.New(rand.NewPCG(1, 11))
	number := status(s).GetNumber()
	for range killRounds() {
		killed := random.IntN(3)
		var group sync.WaitGroup
		group.Go(func() {
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			s.Controllers[killed].Kill()
		})
		for range 10 {
			number++
			v := apply(s, &wire.Change{Id: newID(t), Number: number, Catalogue: numbered(t, number)})
			is.True(v.GetAccepted()) // there is only one operator, so its change is accepted whichever controller is killed
		}
		group.Wait()
		_, err := s.StartController(killed)
		is.NoErr(err)
		awaitVoters(t, s, 3)
		is.Equal(status(s).GetNumber(), number)
	}
	until(t, "in force on the entry instance", func() bool {
		nodes := status(s).GetNodes()
		return len(nodes) == 1 && nodes[0].GetNumber() == number
	})
}

// Guards against the loss of accepted changes after two disk losses: a controller restarts with an empty disk, and
// immediately after its repair a second one is killed and loses its disk. Accepted changes must still be there, and new
// changes must be accepted.
func TestWipedDiskThenSecondLostController(t *testing.T) {
	is := is.New(t)
	s := start(t, 3, 1)
	number := status(s).GetNumber()
	for range 20 {
		number++
		is.True(apply(s, &wire.Change{Id: newID(t), Number: number, Catalogue: numbered(t, number)}).GetAccepted())
	}
	s.Controllers[0].Kill()
	is.NoErr(os.RemoveAll(s.DataFolder(0)))
	_, err := s.StartController(0)
	is.NoErr(err)
	awaitVoters(t, s, 3)
	s.Controllers[1].Kill()
	is.NoErr(os.RemoveAll(s.DataFolder(1)))
	until(t, "the remaining controllers have all changes", func() bool { return status(s).GetNumber() == number })
	number++
	is.True(apply(s, &wire.Change{Id: newID(t), Number: number, Catalogue: numbered(t, number)}).GetAccepted())
	_, err = s.StartController(1)
	is.NoErr(err)
	awaitVoters(t, s, 3)
}

// Two operators send changes with the same number at the same time. Exactly one must be accepted, the other operator
// must receive the ID of the accepted change, and resending a change must return the first verdict again.
func TestConcurrentChangesWithOneNumberHaveOneWinner(t *testing.T) {
	s := start(t, 3, 1)
	for round := range 5 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			is := is.New(t)
			number := status(s).GetNumber() + 1
			ids := []string{newID(t), newID(t)}
			verdicts := make([]*wire.Verdict, len(ids))
			var group sync.WaitGroup
			for i, id := range ids {
				group.Go(func() {
					verdicts[i] = apply(s, &wire.Change{Id: id, Number: number, Catalogue: numbered(t, number)})
				})
			}
			group.Wait()
			is.True(verdicts[0].GetAccepted() != verdicts[1].GetAccepted())
			winner, loser := 0, 1
			if verdicts[1].GetAccepted() {
				winner, loser = 1, 0
			}
			is.Equal(verdicts[loser].GetWinner(), ids[winner])
			again := apply(s, &wire.Change{Id: ids[winner], Number: number, Catalogue: numbered(t, number)})
			is.True(again.GetAccepted())
			is.Equal(again.GetNumber(), number)
		})
	}
}

// A controller and an entry instance are down while 500 changes are applied. Both must have the newest catalogue after
// their restart, and must not act on an older one.
func TestRestartAfterMissedChanges(t *testing.T) {
	is := is.New(t)
	s := start(t, 3, 2)
	follower := (leader(t, s) + 1) % 3
	s.Controllers[follower].Kill()
	s.Entries[1].Kill()
	number := status(s).GetNumber()
	for range 500 {
		number++
		is.True(apply(s, &wire.Change{Id: newID(t), Number: number, Catalogue: numbered(t, number)}).GetAccepted())
	}
	started := time.Now()
	_, err := s.StartController(follower)
	is.NoErr(err)
	_, err = s.StartEntry(1)
	is.NoErr(err)
	awaitVoters(t, s, 3)
	until(t, "both entry instances have the newest catalogue", func() bool {
		confirmed := 0
		for _, n := range status(s).GetNodes() {
			if n.GetNumber() == number && !n.GetLost() {
				confirmed++
			}
		}
		return confirmed == 2
	})
	t.Logf("500 missed changes received in %s", time.Since(started).Round(time.Millisecond))
}

// Guards against stale reads: the leader is frozen and another one is elected. When the old leader resumes it still
// considers itself the leader, and must not answer an operator or an entry instance with its old catalogue.
func TestFrozenLeaderDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	s := start(t, 3, 1)
	old := leader(t, s)
	s.Controllers[old].Freeze()
	until(t, "another leader", func() bool {
		st := status(s)
		return st != nil && st.GetLeader() != s.Controllers[old].Name
	})
	number := status(s).GetNumber() + 1
	is.True(apply(s, &wire.Change{Id: newID(t), Number: number, Catalogue: numbered(t, number)}).GetAccepted())
	s.Controllers[old].Thaw()
	for range 50 {
		st := status(s)
		is.True(st == nil || st.GetNumber() == number) // a controller that answers as leader has the newest change
	}
	awaitVoters(t, s, 3)
}

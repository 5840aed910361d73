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

// killRounds is how often a controller is killed; make soak asks for more.
func killRounds() int {
	if n, err := strconv.Atoi(os.Getenv("CHERVILRAIL_ROUNDS")); err == nil {
		return n
	}
	return 8
}

// Controllers are killed at any moment while an operator applies one change after another. A change that
// was accepted and is gone after the restart would have reverted under the operator's hands.
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
			is.True(v.GetAccepted()) // the only operator's change is accepted, whoever is killed
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

// A controller's disk is replaced by an empty one, and right after the repair a second instance is lost
// for good. What was accepted before must still be there, and new changes must go through.
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
	until(t, "the rest still holds everything", func() bool { return status(s).GetNumber() == number })
	number++
	is.True(apply(s, &wire.Change{Id: newID(t), Number: number, Catalogue: numbered(t, number)}).GetAccepted())
	_, err = s.StartController(1)
	is.NoErr(err)
	awaitVoters(t, s, 3)
}

// Two operators send changes with the same number at the same time. Exactly one may win, and the other
// must be told which change did. Whoever resends after a lost answer gets the first answer again.
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

// A controller and an entry instance are down while 500 changes pass them by. Both must come back with the
// newest catalogue, and must never act on one in between.
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
	until(t, "everyone has the newest", func() bool {
		confirmed := 0
		for _, n := range status(s).GetNodes() {
			if n.GetNumber() == number && !n.GetLost() {
				confirmed++
			}
		}
		return confirmed == 2
	})
	t.Logf("caught up 500 changes behind in %s", time.Since(started).Round(time.Millisecond))
}

// The leading controller freezes, and others elect a new one. When it goes on it still believes to lead;
// it must not answer an operator or an entry instance with its old catalogue.
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
		is.True(st == nil || st.GetNumber() == number) // whoever claims to lead knows the newest change
	}
	awaitVoters(t, s, 3)
}

package trials

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"chervilrail.example/core/wire"
	"chervilrail.example/standin/internal/starter"
)

// catalogueState is the state of the sequential model: a register with the number and the ID of the newest change.
type catalogueState struct {
	number uint64
	winner string
}

type catalogueInput struct {
	read   bool
	number uint64
	id     string
}

type catalogueOutput struct {
	accepted bool
	number   uint64
	winner   string
}

func catalogueModel(first uint64) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return catalogueState{number: first} },
		Step: func(state, input, output any) (bool, any) {
			s, _ := state.(catalogueState)
			in, _ := input.(catalogueInput)
			out, _ := output.(catalogueOutput)
			switch {
			case in.read:
				return out.number == s.number, s
			case out.accepted:
				return in.number == s.number+1, catalogueState{in.number, in.id}
			default:
				winnerMatches := s.winner == "" || out.winner == s.winner
				return in.number != s.number+1 && out.number == s.number && winnerMatches, s
			}
		},
	}
}

// readNumber calls the controllers in turn, from index at on, until one that holds the read lease answers.
func readNumber(s *starter.System, at int) (uint64, bool) {
	deadline := time.Now().Add(timeout)
	for ; time.Now().Before(deadline); at++ {
		i := at % len(s.Controllers)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		r, err := operator(s, i).Get(ctx, connect.NewRequest(&wire.GetRequest{}))
		cancel()
		if err == nil {
			return r.Msg.GetNumber(), true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return 0, false
}

// Operators change and read the catalogue concurrently through different controllers while the leader is frozen and
// resumed. Guards against reads that miss a change accepted before they began, and against two changes with one number.
func TestCatalogueIsLinearizable(t *testing.T) {
	is := is.New(t)
	s := start(t, 3, 1)
	first := status(s).GetNumber()
	started := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(client int, in catalogueInput, call time.Time, out catalogueOutput) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: client, Input: in, Call: int64(call.Sub(started)), Output: out, Return: int64(time.Since(started)),
		})
	}
	var group sync.WaitGroup
	for client := range 4 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(client), 51))
			next := first + 1
			for range 40 {
				call := time.Now()
				if random.IntN(2) == 0 {
					number, ok := readNumber(s, client)
					is.True(ok)
					record(client, catalogueInput{read: true}, call, catalogueOutput{number: number})
					next = number + 1
					continue
				}
				in := catalogueInput{number: next, id: newID(t)}
				v := apply(s, &wire.Change{Id: in.id, Number: in.number, Catalogue: numbered(t, in.number)})
				is.True(v != nil)
				record(client, in, call, catalogueOutput{v.GetAccepted(), v.GetNumber(), v.GetWinner()})
				next = v.GetNumber() + 1
			}
		})
	}
	for range 2 {
		frozen := s.Controllers[leader(t, s)]
		frozen.Freeze()
		time.Sleep(2500 * time.Millisecond)
		frozen.Thaw()
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	is.Equal(len(history), 160)
	is.True(porcupine.CheckOperations(catalogueModel(first), history))
}

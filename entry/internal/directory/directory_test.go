package directory

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

const catalogue = `
[region almaty]
zones = almaty-a
cap = 100
floor = 1

[service listings]
regions = almaty
`

// script is a leading controller that answers with whatever the test sets.
type script struct {
	mu     sync.Mutex
	number uint64
	group  uint64
	down   bool
	asked  int
}

func (s *script) set(change func(s *script)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.asked = 0
}

func (s *script) Renew(_ context.Context, r *wire.RenewRequest) (*wire.RenewResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if s.down {
		return nil, errors.New("down")
	}
	return &wire.RenewResponse{
		Sequence: r.GetSequence(), Group: s.group, Number: s.number, Catalogue: []byte(catalogue),
		Lease: int64(300 * time.Millisecond),
	}, nil
}

func (s *script) Spread([]*wire.Record) {}

func begin(t *testing.T, s *script) *Directory {
	t.Helper()
	d := &Directory{
		Instance: "e1", Region: "almaty", Zone: "almaty-a", Every: 20 * time.Millisecond,
		Renewer: s, Spreader: s, Logger: log.NewNopLogger(),
	}
	is.New(t).NoErr(d.Start(context.Background(), nil))
	t.Cleanup(func() { is.New(t).NoErr(d.Stop(context.Background())) })
	return d
}

// until waits for a condition that must come true.
func until(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("never came true")
}

// A controller comes back with an old disk, or one of another group answers. Followed, an accepted change
// would revert here; so the instance keeps its catalogue, and stops acting when nobody confirms it.
func TestOlderCatalogueIsNotTaken(t *testing.T) {
	cases := map[string]func(s *script){
		"older number":  func(s *script) { s.number = 3 },
		"another group": func(s *script) { s.group, s.number = 8, 9 },
		"no answer":     func(s *script) { s.down = true },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &script{number: 5, group: 7}
			d := begin(t, s)
			until(t, func() bool { return d.View() != nil && d.Confirmed(time.Now()) })
			is.NoErr(d.Health())
			s.set(change)
			until(t, func() bool { return !d.Confirmed(time.Now()) })
			is.Equal(d.View().CatalogueNumber, uint64(5))
			var lapsed *LapsedError
			is.True(errors.As(d.Health(), &lapsed))
			s.set(func(s *script) { s.number, s.group, s.down = 6, 7, false })
			until(t, func() bool { return d.Confirmed(time.Now()) && d.View().CatalogueNumber == 6 })
		})
	}
}

func TestNothingIsTakenBeforeTheFirstCatalogue(t *testing.T) {
	is := is.New(t)
	d := begin(t, &script{down: true})
	var lapsed *LapsedError
	is.True(errors.As(d.Announce(context.Background(), &wire.Record{Name: "u1"}), &lapsed))
	is.True(!d.Confirmed(time.Now()))
}

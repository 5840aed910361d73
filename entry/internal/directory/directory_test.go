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

// fakeController is a leading controller that answers as the test sets it.
type fakeController struct {
	mu     sync.Mutex
	number uint64
	group  uint64
	down   bool
	calls  int
}

func (s *fakeController) set(change func(s *fakeController)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.calls = 0
}

func (s *fakeController) Renew(_ context.Context, r *wire.RenewRequest) (*wire.RenewResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, errors.New("down")
	}
	return &wire.RenewResponse{
		Sequence: r.GetSequence(), Group: s.group, Number: s.number, Catalogue: []byte(catalogue),
		Lease: int64(300 * time.Millisecond),
	}, nil
}

func (s *fakeController) BroadcastRecords([]*wire.Record) {}

func startDirectory(t *testing.T, s *fakeController) *Directory {
	t.Helper()
	d := &Directory{
		Instance: "e1", Region: "almaty", Zone: "almaty-a", HeartbeatInterval: 20 * time.Millisecond,
		Renewer: s, RecordBroadcaster: s, Logger: log.NewNopLogger(),
	}
	is.New(t).NoErr(d.Start(context.Background(), nil))
	t.Cleanup(func() { is.New(t).NoErr(d.Stop(context.Background())) })
	return d
}

// waitFor waits up to 10 s until the condition is true.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition was not met within 10 s")
}

// Guards against an accepted change that reverts on an entry instance, because a controller has come back with an old
// disk or one of another group answers. The instance keeps its catalogue, and stops serving if no controller confirms
// it.
func TestOlderCatalogueIsRejected(t *testing.T) {
	cases := map[string]func(s *fakeController){
		"older number":  func(s *fakeController) { s.number = 3 },
		"another group": func(s *fakeController) { s.group, s.number = 8, 9 },
		"no answer":     func(s *fakeController) { s.down = true },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeController{number: 5, group: 7}
			d := startDirectory(t, s)
			waitFor(t, func() bool { return d.View() != nil && d.Confirmed(time.Now()) })
			is.NoErr(d.Health())
			s.set(change)
			waitFor(t, func() bool { return !d.Confirmed(time.Now()) })
			is.Equal(d.View().CatalogueNumber, uint64(5))
			var unconfirmed *UnconfirmedError
			is.True(errors.As(d.Health(), &unconfirmed))
			s.set(func(s *fakeController) { s.number, s.group, s.down = 6, 7, false })
			waitFor(t, func() bool { return d.Confirmed(time.Now()) && d.View().CatalogueNumber == 6 })
		})
	}
}

func TestAnnouncementIsRefusedBeforeTheFirstCatalogue(t *testing.T) {
	is := is.New(t)
	d := startDirectory(t, &fakeController{down: true})
	var unconfirmed *UnconfirmedError
	is.True(errors.As(d.Announce(context.Background(), &wire.Record{Name: "u1"}), &unconfirmed))
	is.True(!d.Confirmed(time.Now()))
}

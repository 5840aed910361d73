package granter

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/limiter"
	"chervilrail.example/core/wire"
)

// TestMain fixes the seed, so that every run gives the same verdict; -rapid.seed chooses another.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	testLease = 2 * time.Second
	testCap   = 100
	testSteps = 400
	resource  = "region:almaty"
)

// server is what both the real and the naive leaders offer.
type server interface {
	Renew(now time.Time, id HolderID, sequence uint64, holdings []*wire.Holding) ([]*wire.Grant, error)
}

// naive gives every holder its fair part at once, without waiting until those that hold more gave it up.
type naive struct{ Granter }

func (n *naive) Renew(now time.Time, id HolderID, sequence uint64, holdings []*wire.Holding) ([]*wire.Grant, error) {
	if _, err := n.Granter.Renew(now, id, sequence, holdings); err != nil {
		return nil, err
	}
	return []*wire.Grant{{Resource: resource, Share: n.target(n.limits[resource], id)}}, nil
}

// user is one entry instance.
type user struct {
	Holder
	id     HolderID
	frozen bool
	demand int
}

type answer struct {
	user     *user
	id       HolderID
	sequence uint64
	grants   []*wire.Grant
}

type request struct {
	user     *user
	id       HolderID
	sequence uint64
	holdings []*wire.Holding
}

// stage is a leader, its holders and the messages between them.
type stage struct {
	random   *rand.Rand
	now      time.Time
	make     func(since time.Time) server
	leader   server
	users    []*user
	requests []request
	answers  []answer
	uses     []time.Time
	serial   uint64
	served   int
}

func newStage(seed uint64, build func(since time.Time) server) *stage {
	s := &stage{random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0), make: build}
	s.leader = build(time.Time{})
	for i := range 6 {
		u := &user{id: HolderID{fmt.Sprintf("e%d", i), 1}}
		u.SetResources(s.now, []string{resource})
		s.users = append(s.users, u)
	}
	return s
}

func realLeader(since time.Time) server {
	g := &Granter{Lease: testLease, ElectedAt: since}
	g.SetLimits([]cataloguer.Limit{{Resource: resource, Cap: testCap, Floor: 2}})
	return g
}

func naiveLeader(since time.Time) server {
	g, _ := realLeader(since).(*Granter)
	return &naive{*g}
}

// forgetful is a new leader that does not wait until the grants of the former one have ended.
func forgetful(time.Time) server { return realLeader(time.Time{}) }

func (s *stage) step() error {
	s.now = s.now.Add(time.Duration(s.random.IntN(60)) * time.Millisecond)
	u := s.users[s.random.IntN(len(s.users))]
	switch s.random.IntN(60) {
	case 0:
		u.frozen = !u.frozen
	case 1:
		u.demand = s.random.IntN(200)
	case 2:
		if s.random.IntN(4) == 0 {
			s.leader = s.make(s.now)
		}
	case 3:
		s.restart(u)
	}
	for _, o := range s.users {
		s.act(o)
	}
	s.carry()
	return s.check()
}

// restart replaces an instance by a new run of the same name.
func (s *stage) restart(u *user) {
	s.serial++
	*u = user{id: HolderID{u.id.Name, s.serial + 1}, demand: u.demand}
	u.SetResources(s.now, []string{resource})
}

func (s *stage) act(u *user) {
	if u.frozen {
		return
	}
	for range u.demand / 20 {
		u.Demand(s.now, resource, 1)
		if u.Take(s.now, resource, 1) {
			s.uses = append(s.uses, s.now)
			s.served++
		}
	}
	if s.random.IntN(5) == 0 {
		sequence, holdings := u.Request(s.now)
		s.requests = append(s.requests, request{u, u.id, sequence, holdings})
	}
}

// carry delivers some messages late, doubled, out of order or not at all.
func (s *stage) carry() {
	for range s.random.IntN(8) {
		if len(s.requests) > 0 {
			i := s.random.IntN(min(len(s.requests), 4))
			r := s.requests[i]
			if s.random.IntN(10) != 0 {
				s.requests = append(s.requests[:i:i], s.requests[i+1:]...)
			}
			if grants, err := s.leader.Renew(s.now, r.id, r.sequence, r.holdings); err == nil {
				s.answers = append(s.answers, answer{r.user, r.id, r.sequence, grants})
			}
		}
		if len(s.answers) > 0 {
			i := s.random.IntN(min(len(s.answers), 4))
			a := s.answers[i]
			if s.random.IntN(10) != 0 {
				s.answers = append(s.answers[:i:i], s.answers[i+1:]...)
			}
			if a.id == a.user.id && !a.user.frozen {
				a.user.Accept(s.now, a.sequence, testLease, a.grants)
			}
		}
	}
}

// check fails when the last second saw more than the cap, or the shares in force pass it.
func (s *stage) check() error {
	for len(s.uses) > 0 && s.now.Sub(s.uses[0]) >= limiter.Span {
		s.uses = s.uses[1:]
	}
	if len(s.uses) > testCap {
		return fmt.Errorf("%d uses in one second pass the cap of %d", len(s.uses), testCap)
	}
	var sum int64
	for _, u := range s.users {
		sum += u.Limit(s.now, resource)
	}
	if sum > testCap {
		return fmt.Errorf("shares in force add up to %d, the cap is %d", sum, testCap)
	}
	return nil
}

func play(seed uint64, build func(since time.Time) server) (*stage, error) {
	s := newStage(seed, build)
	for range testSteps {
		if err := s.step(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// Entry instances share a region's cap while messages are lost, late, doubled and reordered, instances
// freeze and restart, and leaders change. If the shares could add up to more than the cap, the region
// would be overloaded by a decision of the system.
func TestSharesStayUnderTheCap(t *testing.T) {
	served, schedules := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s, err := play(rapid.Uint64().Draw(rt, "seed"), realLeader)
		if err != nil {
			rt.Fatalf("%v", err)
		}
		served += s.served
		schedules++
	})
	is := is.New(t)
	is.True(served > 50*schedules) // the shares must let work through, not only hold it back
	t.Logf("%d uses in %d schedules", served, schedules)
}

func breaks(build func(since time.Time) server) error {
	for seed := range uint64(500) {
		if _, err := play(seed, build); err != nil {
			return err
		}
	}
	return nil
}

// A leader raises one instance's share before another has given up its own. For a moment both use it, and
// the region gets more than it can take.
func TestNaiveRaisePassesTheCap(t *testing.T) {
	is := is.New(t)
	err := breaks(naiveLeader)
	is.True(err != nil) // raising at once must be caught, or the schedules are too tame
	t.Log(err)
}

// A new leader starts with empty books while instances still use what the former one granted. It gives
// the same share away a second time.
func TestNaiveSuccessorPassesTheCap(t *testing.T) {
	is := is.New(t)
	err := breaks(forgetful)
	is.True(err != nil) // forgetting the former leader's grants must be caught
	t.Log(err)
}

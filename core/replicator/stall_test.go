package replicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// Guards against a change that nobody answers because a leader that stood still together with all others steps down.
func TestLeaderGoesOnAfterAllStoodStill(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			g := newGroup(t, seed, 5)
			l := g.converge()
			g.runFor(3 * testTiming.Election)
			g.advance(testTiming.Election * 11 / 10)
			g.runFor(2 * testTiming.Heartbeat)
			is.Equal(g.leader(), l)
		})
	}
}

// Guards against a leader that is cut off after it stood still, and goes on accepting changes.
func TestCutOffLeaderStepsDownAfterItStoodStill(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1, 5)
	l := g.converge()
	g.runFor(3 * testTiming.Election)
	l.disconnected = true
	for range 4 {
		g.advance(testTiming.Election)
	}
	is.True(l.Role() != Leader)
}

// slowDisks is a group in which a replica does nothing else while it saves, which takes pause.
type slowDisks struct {
	*group
	pause  time.Duration
	saving map[*testReplica]Ready
	until  map[*testReplica]time.Time
}

// step lets some time pass in which each replica that saves nothing receives, ticks and begins to save.
func (s *slowDisks) step() {
	s.now = s.now.Add(linkStep)
	for _, n := range s.replicas {
		n.clock = s.now
		if s.now.Before(s.until[n]) {
			continue
		}
		s.finish(n)
		s.receive(n)
		n.Tick(n.clock)
		r := n.Ready()
		s.saving[n] = r
		if r.Vote != nil || len(r.Entries) > 0 {
			s.until[n] = s.now.Add(s.pause)
		}
	}
}

// finish sends what a replica has saved.
func (s *slowDisks) finish(n *testReplica) {
	r := s.saving[n]
	if len(r.Entries) > 0 {
		n.MarkSaved(r.Entries[len(r.Entries)-1].GetIndex())
	}
	s.enqueue(n, r.Messages)
}

func (s *slowDisks) receive(n *testReplica) {
	var others []*wire.Message
	for _, m := range s.inFlight {
		if m.GetTo().GetName() == n.disk.self.GetName() {
			n.Step(n.clock, m)
		} else {
			others = append(others, m)
		}
	}
	s.inFlight = others
}

// Guards against a group that elects no leader for as long as a save takes most of an election timeout: each candidate begins
// anew before the votes that it has asked for are saved.
func TestSlowDisksElectALeader(t *testing.T) {
	const within = 20 // election timeouts
	for _, percent := range []int{25, 50, 75, 90} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%d %d", percent, seed), func(t *testing.T) {
				is := is.New(t)
				s := &slowDisks{
					group: newGroup(t, seed, 3), pause: testTiming.Election * time.Duration(percent) / 100,
					saving: map[*testReplica]Ready{}, until: map[*testReplica]time.Time{},
				}
				end := s.now.Add(within * testTiming.Election)
				for s.now.Before(end) && s.leader() == nil {
					s.step()
				}
				is.True(s.leader() != nil)
			})
		}
	}
}

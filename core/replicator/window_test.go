package replicator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

const (
	// mostUnderWay and mostInMessage are in bytes; a larger entry is sent alone.
	mostUnderWay  = 4 << 20
	mostInMessage = 1 << 20
	// bulk is the size in bytes above which messages are overtaken on a slow link.
	bulk = 8 << 10
	// snapshotAfter is how many bytes of entries are applied between two snapshots.
	snapshotAfter = 8 << 20
	linkStep      = 5 * time.Millisecond
)

// slowLink is the link to one replica, over which large messages pass in order, and small ones without entries overtake
// them.
type slowLink struct {
	*group
	to *testReplica
	// rate is in bytes a second, credit what may pass now.
	rate   int
	credit int
	// underWay is the most bytes that were on the link at a time, message the most in one message.
	underWay int
	message  int
	// written is the size of the entries since the last snapshot.
	written int
}

func bytesOf(m *wire.Message) int {
	total := len(m.GetSnapshot().GetData())
	for _, e := range m.GetEntries() {
		total += len(e.GetData())
	}
	return total
}

// step lets some time pass and delivers what the link takes in it.
func (s *slowLink) step() {
	s.advance(linkStep)
	s.credit = min(s.credit+s.rate*int(linkStep)/int(time.Second), s.rate)
	for i := 0; i < len(s.inFlight); {
		m := s.inFlight[i]
		slow := m.GetTo().GetName() == s.to.disk.self.GetName() && (bytesOf(m) > bulk || len(m.GetEntries()) > 0)
		if slow && s.credit < 0 {
			i++
			continue
		}
		if slow {
			s.credit -= bytesOf(m)
		}
		s.deliver(i, false)
		s.observe()
	}
}

// observe records what is on the link.
func (s *slowLink) observe() {
	total := 0
	for _, m := range s.inFlight {
		if m.GetTo().GetName() == s.to.disk.self.GetName() {
			total += bytesOf(m)
			s.message = max(s.message, bytesOf(m))
		}
	}
	s.underWay = max(s.underWay, total)
}

// write proposes an entry, and makes a snapshot when the log has become long.
func (s *slowLink) write(l *testReplica, size int) {
	index, term, err := l.Propose(make([]byte, size))
	if err != nil {
		s.t.Fatalf("%s does not lead: %v", l.disk.self.GetName(), err)
	}
	s.pending[index] = term
	l.Flush(l.clock)
	s.processReady(l, false)
	s.observe()
	s.written += size
	if s.written >= snapshotAfter {
		s.written = 0
		s.compact(l)
	}
}

// newSlowLink returns a link to a replica that does not lead, and the leader.
func newSlowLink(t *testing.T, rate int) (*slowLink, *testReplica) {
	t.Helper()
	g := newGroup(t, 1, 3)
	l := g.converge()
	to := g.replicas[0]
	if to == l {
		to = g.replicas[1]
	}
	return &slowLink{group: g, to: to, rate: rate}, l
}

// Guards against leaders that run out of memory, one after the other, while they send the log to a replica that has lost its
// disk: what is under way to it was bounded by the number of entries only.
func TestBytesUnderWayToAReplicaAreBounded(t *testing.T) {
	for name, c := range map[string]struct{ entries, size, underWay, message int }{
		"many small entries":                  {600, 20 << 10, mostUnderWay, mostInMessage},
		"large entries":                       {60, 200 << 10, mostUnderWay, mostInMessage},
		"entries larger than a message":       {9, 3 << 20, mostUnderWay, 3 << 20},
		"entries larger than all that may be": {4, 6 << 20, 6 << 20, 6 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, l := newSlowLink(t, 20<<20)
			s.block(l, s.to, true)
			for range c.entries {
				s.written = 0 // the whole log is to be sent
				s.write(l, c.size)
				s.step()
			}
			s.inFlight, s.underWay, s.message = nil, 0, 0
			s.block(l, s.to, false)
			s.replaceDisk(s.to)
			for range 1000 {
				s.step()
			}
			is.Equal(s.to.Committed(), l.Committed())
			is.True(s.underWay <= c.underWay)
			is.True(s.message <= c.message)
		})
	}
}

// Guards against a replica that never catches up while large changes go on: because what it is sent is sent again and again
// when a heartbeat overtakes it, or because the log has moved on whenever it has received a snapshot.
func TestSlowReplicaCatchesUpUnderLargeChanges(t *testing.T) {
	const size, every, steps = 200 << 10, 4, 2000 // 10 MB/s for 10 s
	for name, c := range map[string]struct{ rate, state int }{
		"a link that carries the changes": {20 << 20, 0},
		"a link that barely carries them": {11 << 20, 0},
		"a link that is too slow":         {5 << 20, 0},
		"large snapshots":                 {20 << 20, 6 << 20},
		"large snapshots on a slow link":  {5 << 20, 6 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, l := newSlowLink(t, c.rate)
			s.state = make([]byte, c.state)
			s.replaceDisk(s.to)
			for i := range steps {
				if i%every == 0 {
					s.write(l, size)
				}
				s.step()
			}
			// Twice the time in which the link carries a snapshot and the entries that follow it.
			behind := 2 * (c.state + mostUnderWay) * int(time.Second/linkStep) / every / c.rate
			is.True(int(l.Committed()-s.to.Committed()) <= behind)
			is.True(s.underWay <= c.state+mostUnderWay+mostInMessage)
			s.converge()
		})
	}
}

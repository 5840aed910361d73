package replicator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// disk holds what survives a crash.
type disk struct {
	self     *wire.Member
	group    uint64
	vote     *wire.Vote
	snapshot *wire.Snapshot
	entries  []*wire.Entry
}

func (d *disk) save(r Ready) {
	if r.Snapshot != nil {
		d.snapshot = r.Snapshot
		d.entries = nil
	}
	if r.Vote != nil {
		d.vote = r.Vote
	}
	for _, e := range r.Entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].GetIndex() >= e.GetIndex() {
			d.entries = d.entries[:len(d.entries)-1]
		}
		d.entries = append(d.entries, e)
	}
}

func (d *disk) last() uint64 { return d.snapshot.GetIndex() + uint64(len(d.entries)) }

// testReplica is one replica of the test group with its disk and its clock.
type testReplica struct {
	*Replica
	disk *disk
	up   bool
	// disconnected is set while no message passes to or from the replica.
	disconnected bool
	clock        time.Time
	// clockRate is how fast the clock runs, in thousandths.
	clockRate int64
	applied   map[uint64]string
}

// group is a set of replicas connected by a list of messages in flight.
type group struct {
	t        reporter
	random   *rand.Rand
	now      time.Time
	replicas []*testReplica
	inFlight []*wire.Message
	serial   uint64
	// runs is how many runs of replicas have begun.
	runs  uint64
	names []string
	// chosen holds the term and data of each committed entry, by index.
	chosen map[uint64]string
	// acked and pending hold the terms of acknowledged entries and of all proposed ones, by index.
	acked   map[uint64]uint64
	pending map[uint64]uint64
	// acks lists the indices that were acknowledged above all earlier ones, with all clocks at that moment.
	acks []ack
	// blocked holds the pairs of replicas between which no message passes.
	blocked map[[2]string]bool
	// The naive flags each disable a safeguard whose absence a test has to detect.
	naiveDisk bool
	naiveVote bool
	// naiveDate dates a follower's state by when the leader's message arrived.
	naiveDate bool
	// older holds the names of replicas of a version without runs.
	older  map[string]bool
	timing Timing
	// state is the content of snapshots.
	state []byte
	// largest is the size in bytes up to which proposals are filled up, or 0.
	largest int
}

// ack is an acknowledged index, and the time of each replica's clock at that moment, by the replica's position.
type ack struct {
	index  uint64
	clocks []time.Time
}

// clockOf returns the time of a replica's clock at the acknowledgement, or zero if it was added later.
func (a *ack) clockOf(position int) time.Time {
	if position >= len(a.clocks) {
		return time.Time{}
	}
	return a.clocks[position]
}

var testTiming = Timing{
	Election:     100 * time.Millisecond,
	Heartbeat:    20 * time.Millisecond,
	ReplaceAfter: 300 * time.Millisecond,
}

// reporter receives the report of a violated invariant.
type reporter interface {
	Fatalf(format string, args ...any)
}

func newGroup(t reporter, seed uint64, size int) *group {
	g := &group{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1000, 0),
		chosen:  map[uint64]string{},
		acked:   map[uint64]uint64{},
		pending: map[uint64]uint64{},
		blocked: map[[2]string]bool{},
		timing:  testTiming,
		state:   []byte("state"),
	}
	var members []*wire.Member
	for i := range size {
		g.names = append(g.names, fmt.Sprintf("c%d", i+1))
		members = append(members, g.newMember(g.names[i]))
	}
	for i, m := range members {
		m.Voter = true
		d := &disk{self: m, group: 7, snapshot: &wire.Snapshot{
			Index: 1, Term: 1, Config: &wire.Config{Members: members},
		}}
		g.replicas = append(g.replicas, &testReplica{disk: d, clock: g.now, clockRate: 990 + int64(i)*10})
		g.boot(g.replicas[i])
	}
	return g
}

func (g *group) newMember(name string) *wire.Member {
	g.serial++
	return &wire.Member{Name: name, Incarnation: g.serial}
}

func (g *group) boot(n *testReplica) {
	g.runs++
	run := g.runs
	if g.older[n.disk.self.GetName()] {
		run = 0
	}
	n.Replica = &Replica{
		Group:     n.disk.group,
		Self:      n.disk.self,
		Run:       run,
		Timing:    g.timing,
		Random:    g.random,
		MaxVoters: len(g.names),
	}
	n.Start(n.clock, n.disk.vote, n.disk.snapshot, n.disk.entries)
	if g.naiveVote {
		n.noVoteUntil = time.Time{}
	}
	n.up = true
	n.applied = map[uint64]string{}
}

// replaceDisk gives a replica an empty disk. The naive version keeps the old identity.
func (g *group) replaceDisk(n *testReplica) {
	m := g.newMember(n.disk.self.GetName())
	if g.naiveDisk {
		m = n.disk.self
	}
	n.disk = &disk{self: m, vote: &wire.Vote{}}
	if g.naiveDisk {
		n.disk.group = 7
		n.disk.snapshot = &wire.Snapshot{Index: 1, Term: 1, Config: g.initialConfig()}
	}
	g.boot(n)
}

func (g *group) initialConfig() *wire.Config {
	c := &wire.Config{}
	for i, name := range g.names {
		c.Members = append(c.Members, &wire.Member{Name: name, Incarnation: uint64(i + 1), Voter: true})
	}
	return c
}

// allVotersIntact reports whether every voter of the newest committed replica set still has its disk, so that the group
// must survive the loss of one more.
func (g *group) allVotersIntact() bool {
	var newest *testReplica
	for _, n := range g.replicas {
		if newest == nil || n.commit > newest.commit {
			newest = n
		}
	}
	voters := 0
	for _, m := range newest.log.configBefore(newest.commit).GetMembers() {
		if !m.GetVoter() {
			return false
		}
		for _, n := range g.replicas {
			if idOf(n.disk.self) == idOf(m) {
				voters++
			}
		}
	}
	return voters == len(g.replicas) && newest.log.configIndex() <= newest.commit
}

// advance advances the time; every clock runs at its own rate.
func (g *group) advance(d time.Duration) {
	g.now = g.now.Add(d)
	for _, n := range g.replicas {
		n.clock = n.clock.Add(time.Duration(int64(d) * n.clockRate / 1000))
		if n.up {
			n.Tick(n.clock)
			g.processReady(n, false)
		}
	}
	g.checkLeases()
	g.checkConfirmed()
}

// processReady carries out a Ready; with crash, the replica crashes between saving and sending.
func (g *group) processReady(n *testReplica, crash bool) {
	for {
		r := n.Ready()
		if r.Vote == nil && r.Snapshot == nil && len(r.Entries)+len(r.Messages)+len(r.Commits) == 0 {
			return
		}
		n.disk.save(r)
		if n.disk.group == 0 {
			n.disk.group = n.Group
		}
		if crash {
			n.up = false
			return
		}
		if len(r.Entries) > 0 {
			n.MarkSaved(r.Entries[len(r.Entries)-1].GetIndex())
		}
		g.enqueue(n, r.Messages)
		for _, e := range r.Commits {
			g.commit(n, e)
		}
	}
}

func (g *group) enqueue(n *testReplica, messages []*wire.Message) {
	for _, m := range messages {
		if m.GetKind() != wire.MessageKind_MESSAGE_JOIN {
			g.inFlight = append(g.inFlight, m)
			continue
		}
		for _, o := range g.replicas {
			if o != n {
				copied := proto.CloneOf(m)
				copied.To = o.disk.self
				g.inFlight = append(g.inFlight, copied)
			}
		}
	}
}

// commit checks that no index is ever committed with two different contents.
func (g *group) commit(n *testReplica, e *wire.Entry) {
	text := fmt.Sprintf("%d/%s", e.GetTerm(), e.GetData())
	if before, ok := g.chosen[e.GetIndex()]; ok && before != text {
		g.t.Fatalf("index %d was committed as %s and now as %s at %s", e.GetIndex(), before, text, n.Self)
	}
	g.chosen[e.GetIndex()] = text
	if term, ok := g.pending[e.GetIndex()]; ok && term == e.GetTerm() {
		g.acked[e.GetIndex()] = term
		g.recordAck(e.GetIndex())
	}
}

func (g *group) recordAck(index uint64) {
	if len(g.acks) > 0 && g.acks[len(g.acks)-1].index >= index {
		return
	}
	a := ack{index: index}
	for _, n := range g.replicas {
		a.clocks = append(a.clocks, n.clock)
	}
	g.acks = append(g.acks, a)
}

// checkConfirmed fails when a replica lacks an entry that was acknowledged before the time for which its state is said
// to have been the newest.
func (g *group) checkConfirmed() {
	for i, n := range g.replicas {
		if !n.up {
			continue
		}
		at := n.ConfirmedAt()
		if g.naiveDate && n.Role() == Follower && n.leader != nil {
			at = n.noVoteUntil.Add(-testTiming.Election)
		}
		for k := len(g.acks) - 1; k >= 0; k-- {
			if !g.acks[k].clockOf(i).Before(at) {
				continue
			}
			if g.acks[k].index > n.Committed() {
				g.t.Fatalf("%s holds up to %d and calls this the newest, after %d was acknowledged",
					n.disk.self.GetName(), n.Committed(), g.acks[k].index)
			}
			break
		}
	}
}

// checkLeases fails when two replicas could both answer reads.
func (g *group) checkLeases() {
	leaseHolders := 0
	for _, n := range g.replicas {
		if n.up && n.clock.Before(n.LeaseDeadline(n.clock)) {
			leaseHolders++
		}
	}
	if leaseHolders > 1 {
		g.t.Fatalf("%d replicas hold the read lease at once", leaseHolders)
	}
}

// deliver delivers the message at position i. With keep, the message stays in flight and may be delivered again.
func (g *group) deliver(i int, keep bool) {
	m := g.inFlight[i]
	if g.older[m.GetFrom().GetName()] || g.older[m.GetTo().GetName()] {
		m.Run = 0
	}
	if !keep {
		g.inFlight = append(g.inFlight[:i:i], g.inFlight[i+1:]...)
	}
	from := g.byName(m.GetFrom().GetName())
	if g.blocked[[2]string{m.GetFrom().GetName(), m.GetTo().GetName()}] {
		return
	}
	for _, n := range g.replicas {
		if n.up && !n.disconnected && !from.disconnected && n.disk.self.GetName() == m.GetTo().GetName() {
			n.Step(n.clock, proto.CloneOf(m))
			g.processReady(n, false)
		}
	}
}

// block cuts or restores the connection between two replicas in both directions.
func (g *group) block(a, b *testReplica, cut bool) {
	one, two := a.disk.self.GetName(), b.disk.self.GetName()
	g.blocked[[2]string{one, two}] = cut
	g.blocked[[2]string{two, one}] = cut
}

func (g *group) byName(name string) *testReplica {
	for _, n := range g.replicas {
		if n.disk.self.GetName() == name {
			return n
		}
	}
	return nil
}

func (g *group) propose(n *testReplica) {
	data := fmt.Appendf(nil, "v%d", g.serial)
	if g.largest > 0 {
		data = append(data, make([]byte, g.pick(g.largest))...)
	}
	index, term, err := n.Propose(data)
	g.serial++
	if err != nil {
		return
	}
	g.pending[index] = term
	n.Flush(n.clock)
	g.processReady(n, false)
}

func (g *group) compact(n *testReplica) {
	if n.applied == nil || n.Committed() <= n.log.snapshot.GetIndex() || n.Replica.applied < n.Committed() {
		return
	}
	n.disk.snapshot = n.Compact(n.Committed(), g.state)
	for len(n.disk.entries) > 0 && n.disk.entries[0].GetIndex() <= n.disk.snapshot.GetIndex() {
		n.disk.entries = n.disk.entries[1:]
	}
}

// converge runs without faults until a leader holds its lease and all logs are equal.
func (g *group) converge() *testReplica {
	g.blocked = map[[2]string]bool{}
	for _, n := range g.replicas {
		n.disconnected = false
		if !n.up {
			g.boot(n)
		}
	}
	for range 400 {
		g.deliverAll()
		g.advance(10 * time.Millisecond)
		if l := g.leader(); l != nil && g.caughtUp(l) {
			return l
		}
	}
	g.t.Fatalf("no agreement long after all faults ended")
	return nil
}

// deliverAll delivers until nothing is in flight. It fails on messages that answer each other endlessly without any
// time passing: they would keep the replicas and the network busy for nothing.
func (g *group) deliverAll() {
	const limit = 20_000
	for range limit {
		if len(g.inFlight) == 0 {
			return
		}
		g.deliver(0, false)
	}
	last := g.inFlight[0]
	g.t.Fatalf("%d messages at one instant, the next from %s to %s: %s",
		limit, last.GetFrom().GetName(), last.GetTo().GetName(), last)
}

// runFor runs without further faults for a while; what is disconnected or blocked stays so.
func (g *group) runFor(d time.Duration) {
	for range d / (5 * time.Millisecond) {
		g.deliverAll()
		g.advance(5 * time.Millisecond)
	}
}

func (g *group) leader() *testReplica {
	for _, n := range g.replicas {
		if n.up && n.clock.Before(n.LeaseDeadline(n.clock)) {
			return n
		}
	}
	return nil
}

func (g *group) caughtUp(l *testReplica) bool {
	for _, n := range g.replicas {
		if n.disk.last() != l.disk.last() || n.Committed() != l.log.last() {
			return false
		}
	}
	return true
}

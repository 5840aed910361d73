package replicator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// disk is what survives a crash.
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

// node is one replica of the fake group with its disk and its clock.
type node struct {
	*Replica
	disk *disk
	up   bool
	// cut is set while no message passes to or from the replica.
	cut   bool
	clock time.Time
	// rate is how fast the clock runs, in thousandths.
	rate    int64
	applied map[uint64]string
}

// group is a handful of replicas joined by a list of messages in flight.
type group struct {
	t       failer
	random  *rand.Rand
	now     time.Time
	nodes   []*node
	flight  []*wire.Message
	serial  uint64
	names   []string
	chosen  map[uint64]string
	acked   map[uint64]uint64
	pending map[uint64]uint64
	// blocked holds the pairs of replicas between which nothing passes.
	blocked map[[2]string]bool
	// naive turns off what the test wants to see fail.
	naiveDisk  bool
	naiveQuiet bool
}

var testTiming = Timing{
	Election:     100 * time.Millisecond,
	Heartbeat:    20 * time.Millisecond,
	ReplaceAfter: 300 * time.Millisecond,
}

// failer is what reports a broken promise.
type failer interface {
	Fatalf(format string, args ...any)
}

func newGroup(t failer, seed uint64, size int) *group {
	g := &group{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1000, 0),
		chosen:  map[uint64]string{},
		acked:   map[uint64]uint64{},
		pending: map[uint64]uint64{},
		blocked: map[[2]string]bool{},
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
		g.nodes = append(g.nodes, &node{disk: d, clock: g.now, rate: 990 + int64(i)*10})
		g.boot(g.nodes[i])
	}
	return g
}

func (g *group) newMember(name string) *wire.Member {
	g.serial++
	return &wire.Member{Name: name, Incarnation: g.serial}
}

func (g *group) boot(n *node) {
	n.Replica = &Replica{
		Group:  n.disk.group,
		Self:   n.disk.self,
		Timing: testTiming,
		Random: g.random,
		Seats:  len(g.names),
	}
	n.Start(n.clock, n.disk.vote, n.disk.snapshot, n.disk.entries)
	if g.naiveQuiet {
		n.quietUntil = time.Time{}
	}
	n.up = true
	n.applied = map[uint64]string{}
}

// wipe replaces a disk. The naive version keeps the old identity.
func (g *group) wipe(n *node) {
	m := g.newMember(n.disk.self.GetName())
	if g.naiveDisk {
		m = n.disk.self
	}
	n.disk = &disk{self: m, vote: &wire.Vote{}}
	if g.naiveDisk {
		n.disk.group = 7
		n.disk.snapshot = &wire.Snapshot{Index: 1, Term: 1, Config: g.firstConfig()}
	}
	g.boot(n)
}

func (g *group) firstConfig() *wire.Config {
	c := &wire.Config{}
	for i, name := range g.names {
		c.Members = append(c.Members, &wire.Member{Name: name, Incarnation: uint64(i + 1), Voter: true})
	}
	return c
}

// whole reports whether every voter of the newest committed set still has its disk, so that the group
// is meant to survive the loss of one more.
func (g *group) whole() bool {
	var newest *node
	for _, n := range g.nodes {
		if newest == nil || n.commit > newest.commit {
			newest = n
		}
	}
	voters := 0
	for _, m := range newest.log.configBefore(newest.commit).GetMembers() {
		if !m.GetVoter() {
			return false
		}
		for _, n := range g.nodes {
			if keyOf(n.disk.self) == keyOf(m) {
				voters++
			}
		}
	}
	return voters == len(g.nodes) && newest.log.configIndex() <= newest.commit
}

// advance lets time pass; every clock runs at its own rate.
func (g *group) advance(d time.Duration) {
	g.now = g.now.Add(d)
	for _, n := range g.nodes {
		n.clock = n.clock.Add(time.Duration(int64(d) * n.rate / 1000))
		if n.up {
			n.Tick(n.clock)
			g.work(n, false)
		}
	}
	g.checkLeases()
}

// work carries out a Ready; with crash, the replica dies between saving and sending.
func (g *group) work(n *node, crash bool) {
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
			n.Saved(r.Entries[len(r.Entries)-1].GetIndex())
		}
		g.post(n, r.Messages)
		for _, e := range r.Commits {
			g.commit(n, e)
		}
	}
}

func (g *group) post(n *node, messages []*wire.Message) {
	for _, m := range messages {
		if m.GetKind() != wire.MessageKind_MESSAGE_JOIN {
			g.flight = append(g.flight, m)
			continue
		}
		for _, o := range g.nodes {
			if o != n {
				copied := proto.CloneOf(m)
				copied.To = o.disk.self
				g.flight = append(g.flight, copied)
			}
		}
	}
}

// commit checks that no index is ever committed with two different contents.
func (g *group) commit(n *node, e *wire.Entry) {
	text := fmt.Sprintf("%d/%s", e.GetTerm(), e.GetData())
	if before, ok := g.chosen[e.GetIndex()]; ok && before != text {
		g.t.Fatalf("index %d was committed as %s and now as %s at %s", e.GetIndex(), before, text, n.Self)
	}
	g.chosen[e.GetIndex()] = text
	if term, ok := g.pending[e.GetIndex()]; ok && term == e.GetTerm() {
		g.acked[e.GetIndex()] = term
	}
}

// checkLeases fails when two replicas could both answer reads.
func (g *group) checkLeases() {
	holders := 0
	for _, n := range g.nodes {
		if n.up && n.clock.Before(n.LeaseDeadline(n.clock)) {
			holders++
		}
	}
	if holders > 1 {
		g.t.Fatalf("%d replicas hold the read lease at once", holders)
	}
}

func (g *group) deliver(i int, keep bool) {
	m := g.flight[i]
	if !keep {
		g.flight = append(g.flight[:i:i], g.flight[i+1:]...)
	}
	from := g.named(m.GetFrom().GetName())
	if g.blocked[[2]string{m.GetFrom().GetName(), m.GetTo().GetName()}] {
		return
	}
	for _, n := range g.nodes {
		if n.up && !n.cut && !from.cut && n.disk.self.GetName() == m.GetTo().GetName() {
			n.Step(n.clock, proto.CloneOf(m))
			g.work(n, false)
		}
	}
}

// block cuts or restores the way between two replicas, both ways.
func (g *group) block(a, b *node, cut bool) {
	one, two := a.disk.self.GetName(), b.disk.self.GetName()
	g.blocked[[2]string{one, two}] = cut
	g.blocked[[2]string{two, one}] = cut
}

func (g *group) named(name string) *node {
	for _, n := range g.nodes {
		if n.disk.self.GetName() == name {
			return n
		}
	}
	return nil
}

func (g *group) propose(n *node) {
	index, term, err := n.Propose(fmt.Appendf(nil, "v%d", g.serial))
	g.serial++
	if err != nil {
		return
	}
	g.pending[index] = term
	n.Flush(n.clock)
	g.work(n, false)
}

func (g *group) compact(n *node) {
	if n.applied == nil || n.Committed() <= n.log.snapshot.GetIndex() || n.Replica.applied < n.Committed() {
		return
	}
	n.disk.snapshot = n.Compact(n.Committed(), []byte("state"))
	for len(n.disk.entries) > 0 && n.disk.entries[0].GetIndex() <= n.disk.snapshot.GetIndex() {
		n.disk.entries = n.disk.entries[1:]
	}
}

// heal lets everything run without faults until a leader holds its lease and all logs are equal.
func (g *group) heal() *node {
	g.blocked = map[[2]string]bool{}
	for _, n := range g.nodes {
		n.cut = false
		if !n.up {
			g.boot(n)
		}
	}
	for range 400 {
		g.deliverAll()
		g.advance(10 * time.Millisecond)
		if l := g.leader(); l != nil && g.level(l) {
			return l
		}
	}
	g.t.Fatalf("no agreement long after all faults ended")
	return nil
}

// deliverAll delivers until nothing is in flight; messages that answer each other for ever, without any
// time passing, would keep the replicas and the network busy for nothing.
func (g *group) deliverAll() {
	const most = 20_000
	for range most {
		if len(g.flight) == 0 {
			return
		}
		g.deliver(0, false)
	}
	last := g.flight[0]
	g.t.Fatalf("%d messages at one instant, the next from %s to %s: %s", most, last.GetFrom().GetName(), last.GetTo().GetName(), last)
}

// calm runs without faults for a while, but for what is cut or blocked.
func (g *group) calm(d time.Duration) {
	for range d / (5 * time.Millisecond) {
		g.deliverAll()
		g.advance(5 * time.Millisecond)
	}
}

func (g *group) leader() *node {
	for _, n := range g.nodes {
		if n.up && n.clock.Before(n.LeaseDeadline(n.clock)) {
			return n
		}
	}
	return nil
}

func (g *group) level(l *node) bool {
	for _, n := range g.nodes {
		if n.disk.last() != l.disk.last() || n.Committed() != l.log.last() {
			return false
		}
	}
	return true
}

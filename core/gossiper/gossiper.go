// Package gossiper keeps what the controllers know of targets and entry instances alike on all of them, in memory.
// It is a state machine for use under one lock.
//
// A controller that hears a target itself tells the others only what has changed; the others are told of nothing
// else, unless a digest shows that two of them differ for longer than such news takes. So calm costs a few bytes a
// period and controller, however many targets there are.
package gossiper

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
)

const (
	// Period is how often controllers exchange when nothing changes.
	Period = 400 * time.Millisecond
	// linkLife is how long an answered exchange shows that a controller is reachable: two periods and two round trips.
	// An entry instance has to hear of a leaving target within 2.5 s, and turns away from a cut-off controller first.
	linkLife = 1100 * time.Millisecond
	// repairAfter is how long two controllers may differ before one sends the other everything. News reaches all
	// within a round trip; what differs for longer was lost with the controller that told it.
	repairAfter = 700 * time.Millisecond
	// silentAfter is how long a target may be unheard: three of its announcements and the time that one may be late.
	silentAfter = 6 * time.Second
	// nodeLife is how long an entry instance counts after it was last heard; it asks at least every second.
	nodeLife = 3 * time.Second
	// lossLife and maxLosses bound the reports of requests that were in flight when a target died.
	lossLife  = 2 * time.Minute
	maxLosses = 512
)

// Gossiper holds one controller's picture. Set the exported fields before use.
type Gossiper struct {
	// Self is this controller's name, Run a number that differs with each start.
	Self string
	Run  uint64

	targets registrar.Registrar
	marks   map[string]*mark
	nodes   map[string]*sighting
	peers   map[string]*peer
	losses  []*loss
	// counter grows with everything that a watcher should learn.
	counter uint64
	roster  uint64
	// digest sums up the targets' records; equal pictures have equal digests.
	digest uint64
}

// mark is what this controller knows beyond a target's record.
type mark struct {
	changed uint64
	// home is set while this controller is the one that hears the target.
	home    bool
	heardAt time.Time
	coldEnd time.Time
	digest  uint64
}

type sighting struct {
	node    *wire.Node
	heardAt time.Time
	home    bool
}

type loss struct {
	report  *wire.Loss
	counter uint64
	home    bool
	until   time.Time
}

// peer is another controller as seen from here.
type peer struct {
	run      uint64
	acked    uint64
	ackedAt  time.Time
	differs  bool
	differAt time.Time
}

func (g *Gossiper) init() {
	if g.marks == nil {
		g.marks = map[string]*mark{}
		g.nodes = map[string]*sighting{}
		g.peers = map[string]*peer{}
	}
}

// Counter returns the count of changes so far.
func (g *Gossiper) Counter() uint64 { return g.counter }

// Target returns the newest record of a target.
func (g *Gossiper) Target(name string) (*wire.Record, bool) { return g.targets.Get(name) }

// Announce takes a target's own announcement and returns the change that has to reach the others before it binds.
func (g *Gossiper) Announce(now time.Time, r *wire.Record) uint64 {
	g.init()
	old, known := g.targets.Get(r.GetName())
	if !g.targets.Merge(now, r) {
		return g.Changed(r.GetName())
	}
	m := g.mark(r.GetName())
	news := !known || !m.home || differ(old, r)
	m.home = true
	m.heardAt = now
	m.coldEnd = now.Add(time.Duration(r.GetCold()))
	if news {
		g.change(r.GetName())
	}
	return m.changed
}

// Changed returns the count at which a target's record last changed.
func (g *Gossiper) Changed(name string) uint64 {
	if m, ok := g.marks[name]; ok {
		return m.changed
	}
	return 0
}

func (g *Gossiper) mark(name string) *mark {
	m, ok := g.marks[name]
	if !ok {
		m = &mark{}
		g.marks[name] = m
	}
	return m
}

// differ ignores what changes with every announcement.
func differ(a, b *wire.Record) bool { return digestOf(a) != digestOf(b) }

func digestOf(r *wire.Record) uint64 {
	bare := proto.CloneOf(r)
	bare.Sequence, bare.Cold, bare.Load = 0, 0, 0
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(bare)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

func (g *Gossiper) change(name string) {
	g.counter++
	m := g.mark(name)
	m.changed = g.counter
	record, _ := g.targets.Get(name)
	sum := digestOf(record)
	g.digest ^= m.digest ^ sum
	m.digest = sum
}

// See notes an entry instance's own call.
func (g *Gossiper) See(now time.Time, n *wire.Node) {
	g.init()
	g.sight(n, now, true)
}

func (g *Gossiper) sight(n *wire.Node, at time.Time, home bool) {
	old, ok := g.nodes[n.GetName()]
	if ok && !at.After(old.heardAt) {
		return
	}
	g.nodes[n.GetName()] = &sighting{n, at, home}
	if !ok || !proto.Equal(old.node, n) {
		g.counter++
		g.roster = g.counter
	}
}

// Report takes reports of requests that were in flight when a target died.
func (g *Gossiper) Report(now time.Time, reports []*wire.Loss, home bool) {
	for _, r := range reports {
		if slices.ContainsFunc(g.losses, func(l *loss) bool { return proto.Equal(l.report, r) }) {
			continue
		}
		g.counter++
		g.losses = append(g.losses, &loss{r, g.counter, home, now.Add(lossLife)})
	}
	if extra := len(g.losses) - maxLosses; extra > 0 {
		g.losses = slices.Delete(g.losses, 0, extra)
	}
}

// Tick drops what has timed out. A target is called silent only while others are heard here: when all fall silent at
// once, it is this controller that lost its links, and traffic must go on.
func (g *Gossiper) Tick(now time.Time) {
	g.init()
	g.tickNodes(now)
	g.losses = slices.DeleteFunc(g.losses, func(l *loss) bool { return !now.Before(l.until) })
	heard, quiet := 0, []string{}
	for _, name := range slices.Sorted(maps.Keys(g.marks)) {
		m := g.marks[name]
		record, _ := g.targets.Get(name)
		if !m.home || record.GetSilent() || record.GetState() != wire.TargetState_TARGET_READY {
			continue
		}
		if now.Sub(m.heardAt) < silentAfter {
			heard++
			continue
		}
		quiet = append(quiet, name)
	}
	if heard <= len(quiet) {
		return
	}
	for _, name := range quiet {
		record, _ := g.targets.Get(name)
		silent := proto.CloneOf(record)
		silent.Silent = true
		if g.targets.Merge(now, silent) {
			g.change(name)
		}
	}
}

func (g *Gossiper) tickNodes(now time.Time) {
	for name, s := range g.nodes {
		if now.Sub(s.heardAt) > nodeLife {
			delete(g.nodes, name)
			g.counter++
			g.roster = g.counter
		}
	}
}

// Nodes returns the entry instances heard lately, by name.
func (g *Gossiper) Nodes(now time.Time) []*wire.Seen {
	var out []*wire.Seen
	for _, name := range slices.Sorted(maps.Keys(g.nodes)) {
		s := g.nodes[name]
		if now.Sub(s.heardAt) <= nodeLife {
			out = append(out, &wire.Seen{Node: s.node, Age: int64(now.Sub(s.heardAt))})
		}
	}
	return out
}

// Since returns what a watcher lacks that has seen everything up to a counter.
func (g *Gossiper) Since(now time.Time, counter uint64) ([]*wire.Record, []*wire.Seen, []*wire.Loss) {
	records := g.changed(now, func(m *mark) bool { return m.changed > counter })
	var losses []*wire.Loss
	for _, l := range g.losses {
		if l.counter > counter {
			losses = append(losses, l.report)
		}
	}
	if g.roster <= counter {
		return records, nil, losses
	}
	return records, g.Nodes(now), losses
}

func (g *Gossiper) changed(now time.Time, wanted func(m *mark) bool) []*wire.Record {
	var out []*wire.Record
	for _, name := range slices.Sorted(maps.Keys(g.marks)) {
		m := g.marks[name]
		record, ok := g.targets.Get(name)
		if !ok || !wanted(m) {
			continue
		}
		sent := proto.CloneOf(record)
		sent.Cold = max(0, int64(m.coldEnd.Sub(now)))
		out = append(out, sent)
	}
	return out
}

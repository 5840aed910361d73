// Package gossiper keeps what the controllers know of targets and entry instances alike on all of them, in memory.
// It is a state machine for use under one lock.
//
// A controller that hears a target itself tells the others only what has changed; the others are told of nothing
// else, unless a digest shows that two of them differ for longer than such news takes. So calm costs a few bytes a
// period and controller, however many targets there are.
package gossiper

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/aggregator"
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
	// lossLife and maxLosses bound the reports of requests that were in flight when a target died.
	lossLife  = 2 * time.Minute
	maxLosses = 512
)

// Gossiper holds one controller's picture. Set the exported fields before use.
type Gossiper struct {
	// Self is this controller's name, Run a number that differs with each start.
	Self   string
	Run    uint64
	Region string

	targets registrar.Registrar
	marks   map[string]*mark
	trail   trail
	nodes   nodes
	peers   map[string]*peer
	losses  []*loss
	hosts   hosts
	gauge   aggregator.LoadTable
	// counter grows with everything that a watcher should learn.
	counter uint64
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

type loss struct {
	report  *wire.Loss
	counter uint64
	home    bool
	until   time.Time
}

// peer is another controller as seen from here.
type peer struct {
	region  string
	run     uint64
	acked   uint64
	hosted  uint64
	ackedAt time.Time
	// loadedAt is when it was last told loads.
	loadedAt time.Time
	differs  bool
	differAt time.Time
}

func (g *Gossiper) init() {
	if g.marks == nil {
		g.marks = map[string]*mark{}
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
	g.trail.add(g.counter, name, g.Changed)
	if g.left(name) {
		g.hosts.forget(name)
	}
	record, _ := g.targets.Get(name)
	sum := digestOf(record)
	g.digest ^= m.digest ^ sum
	m.digest = sum
}

// ReportLosses takes reports of requests that were in flight when a target died.
func (g *Gossiper) ReportLosses(now time.Time, reports []*wire.Loss, home bool) {
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
	g.counter = g.nodes.tick(now, g.counter)
	g.losses = slices.DeleteFunc(g.losses, func(l *loss) bool { return !now.Before(l.until) })
	heard, quiet := 0, []string{}
	for name, m := range g.marks {
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
	slices.Sort(quiet)
	for _, name := range quiet {
		record, _ := g.targets.Get(name)
		silent := proto.CloneOf(record)
		silent.Silent = true
		if g.targets.Merge(now, silent) {
			g.change(name)
		}
	}
}

// Changes is what a watcher lacks.
type Changes struct {
	Records []*wire.Record
	// Seen are the entry instances that changed, those that are gone marked lost, or all if Whole is set.
	Seen   []*wire.Seen
	Whole  bool
	Losses []*wire.Loss
}

// Empty reports whether there is nothing new.
func (n *Changes) Empty() bool {
	return len(n.Records)+len(n.Seen)+len(n.Losses) == 0
}

// ChangesSince returns what a watcher lacks that has seen everything up to a counter.
func (g *Gossiper) ChangesSince(now time.Time, counter uint64) *Changes {
	out := &Changes{Records: g.changed(now, counter, func(*mark) bool { return true })}
	for _, l := range g.losses {
		if l.counter > counter {
			out.Losses = append(out.Losses, l.report)
		}
	}
	out.Seen, out.Whole = g.nodes.since(now, counter)
	return out
}

// changed returns the wanted records that changed after a count, oldest change first.
func (g *Gossiper) changed(now time.Time, counter uint64, wanted func(m *mark) bool) []*wire.Record {
	var out []*wire.Record
	for _, name := range g.trail.since(counter, g.Changed) {
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

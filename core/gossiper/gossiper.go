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

	"chervilrail.example/core/gauger"
	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
)

const (
	// Period is how often controllers exchange when nothing changes.
	Period = 400 * time.Millisecond
	// reachableTimeout is how long an answered exchange shows that a controller is reachable: two periods and two round trips.
	// An entry instance has to hear of a leaving target within 2.5 s, and turns away from a cut-off controller first.
	reachableTimeout = 1100 * time.Millisecond
	// repairAfter is how long two controllers may differ before one sends the other everything. News reaches all
	// within a round trip; what differs for longer was lost with the controller that told it.
	repairAfter = 700 * time.Millisecond
	// silentAfter is how long a target may be unheard: three of its announcements and the time that one may be late.
	silentAfter = 6 * time.Second
	// lossRetention and maxLosses bound the reports of requests that were in flight when a target died.
	lossRetention = 2 * time.Minute
	maxLosses     = 512
)

// Gossiper holds one controller's picture. Set the exported fields before use.
type Gossiper struct {
	// Self is this controller's name, Run a number that differs with each start.
	Self   string
	Run    uint64
	Region string

	targets   registrar.Registrar
	statuses  map[string]*targetStatus
	changeLog changeLog
	instances instances
	peers     map[string]*peer
	losses    []*loss
	hosts     hosts
	gauge     gauger.Gauge
	// counter grows with everything that a watcher should learn.
	counter uint64
	// digest sums up the targets' records; equal pictures have equal digests.
	digest uint64
}

// targetStatus is what this controller knows beyond a target's record.
type targetStatus struct {
	changed uint64
	// direct is set while this controller is the one that hears the target.
	direct      bool
	announcedAt time.Time
	coldEnd     time.Time
	digest      uint64
}

type loss struct {
	report    *wire.Loss
	counter   uint64
	direct    bool
	expiresAt time.Time
}

// peer is another controller as seen from here.
type peer struct {
	region     string
	run        uint64
	acked      uint64
	ackedHosts uint64
	ackedAt    time.Time
	// loadsSentAt is when it was last told loads.
	loadsSentAt  time.Time
	differs      bool
	differsSince time.Time
}

func (g *Gossiper) init() {
	if g.statuses == nil {
		g.statuses = map[string]*targetStatus{}
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
		return g.LastChange(r.GetName())
	}
	m := g.status(r.GetName())
	mustPublish := !known || !m.direct || differ(old, r)
	m.direct = true
	m.announcedAt = now
	m.coldEnd = now.Add(time.Duration(r.GetCold()))
	if mustPublish {
		g.recordChange(r.GetName())
	}
	return m.changed
}

// LastChange returns the count at which a target's record last changed.
func (g *Gossiper) LastChange(name string) uint64 {
	if m, ok := g.statuses[name]; ok {
		return m.changed
	}
	return 0
}

func (g *Gossiper) status(name string) *targetStatus {
	m, ok := g.statuses[name]
	if !ok {
		m = &targetStatus{}
		g.statuses[name] = m
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

func (g *Gossiper) recordChange(name string) {
	g.counter++
	m := g.status(name)
	m.changed = g.counter
	g.changeLog.add(g.counter, name, g.LastChange)
	if g.hasLeft(name) {
		g.hosts.removeTarget(name)
	}
	record, _ := g.targets.Get(name)
	sum := digestOf(record)
	g.digest ^= m.digest ^ sum
	m.digest = sum
}

// ReportLosses takes reports of requests that were in flight when a target died.
func (g *Gossiper) ReportLosses(now time.Time, reports []*wire.Loss, direct bool) {
	for _, r := range reports {
		if slices.ContainsFunc(g.losses, func(l *loss) bool { return proto.Equal(l.report, r) }) {
			continue
		}
		g.counter++
		g.losses = append(g.losses, &loss{r, g.counter, direct, now.Add(lossRetention)})
	}
	if extra := len(g.losses) - maxLosses; extra > 0 {
		g.losses = slices.Delete(g.losses, 0, extra)
	}
}

// Tick drops what has timed out. A target is called silent only while others are heard here: when all fall silent at
// once, it is this controller that lost its links, and traffic must go on.
func (g *Gossiper) Tick(now time.Time) {
	g.init()
	g.counter = g.instances.expire(now, g.counter)
	g.losses = slices.DeleteFunc(g.losses, func(l *loss) bool { return !now.Before(l.expiresAt) })
	current, overdue := 0, []string{}
	for name, m := range g.statuses {
		record, _ := g.targets.Get(name)
		if !m.direct || record.GetSilent() || record.GetState() != wire.TargetState_TARGET_READY {
			continue
		}
		if now.Sub(m.announcedAt) < silentAfter {
			current++
			continue
		}
		overdue = append(overdue, name)
	}
	if current <= len(overdue) {
		return
	}
	slices.Sort(overdue)
	for _, name := range overdue {
		record, _ := g.targets.Get(name)
		silent := proto.CloneOf(record)
		silent.Silent = true
		if g.targets.Merge(now, silent) {
			g.recordChange(name)
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
	out := &Changes{Records: g.changedRecords(now, counter, func(*targetStatus) bool { return true })}
	for _, l := range g.losses {
		if l.counter > counter {
			out.Losses = append(out.Losses, l.report)
		}
	}
	out.Seen, out.Whole = g.instances.since(now, counter)
	return out
}

// changedRecords returns the wanted records that changedRecords after a count, oldest change first.
func (g *Gossiper) changedRecords(now time.Time, counter uint64, wanted func(m *targetStatus) bool) []*wire.Record {
	var out []*wire.Record
	for _, name := range g.changeLog.since(counter, g.LastChange) {
		m := g.statuses[name]
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

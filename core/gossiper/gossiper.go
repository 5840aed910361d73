// Package gossiper replicates what the controllers know of targets and entry instances to all controllers, in memory.
// It is a state machine; its caller holds one lock around all calls.
//
// A controller sends the others the changes of targets that announce themselves to it directly, and every leave that it
// receives. It sends all its records, in parts, only when a digest shows that it has differed from another controller
// for longer than a change takes to arrive. While nothing changes, an exchange therefore costs a few bytes per period and
// controller, whatever the number of targets.
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
	// Period is the interval of exchanges between controllers while nothing changes.
	Period = 400 * time.Millisecond
	// reachableTimeout is how long after an answered exchange a controller counts as reachable: two periods and two
	// round trips. An entry instance has to learn of a leaving target within 2.5 s. If its controller is cut off, it
	// first has to turn to another one within that time.
	reachableTimeout = 1100 * time.Millisecond
	// repairAfter is how long the digests of two controllers may differ before one sends the other all its records. A
	// change reaches all controllers within a round trip; a difference that lasts longer comes from a change that was
	// lost with the controller that sent it.
	repairAfter = 700 * time.Millisecond
	// silentAfter is how long a target may go without an announcement: three announcement intervals and the time by
	// which one may be late.
	silentAfter = 6 * time.Second
	// relayTime is how long a controller passes on that a target leaves: the time in which another one may be cut off from
	// the controller that received it. Later, digests show what is missing.
	relayTime = 10 * time.Second
	// lossRetention and maxLosses bound the reports kept of requests that were in flight when a target died.
	lossRetention = 2 * time.Minute
	maxLosses     = 512
)

// Gossiper holds one controller's copy of the replicated state. Set the exported fields before use.
type Gossiper struct {
	// Self is this controller's name, Run a number that differs with each start.
	Self   string
	Run    uint64
	Region string

	targets  registrar.Registrar
	statuses map[string]*targetStatus
	// changeLog lists the changes of records, outgoing those that this controller has to send to the others.
	changeLog changeLog
	outgoing  changeLog
	instances instances
	peers     map[string]*peer
	losses    []*loss
	hosts     hosts
	loadTable gauger.LoadTable
	// rateLimits are the limits that targets have named.
	rateLimits rateLimits
	backoffs   backoffs
	reserve    reserve
	// counter is incremented with every change that watchers or other controllers have to receive.
	counter uint64
	marks   Marks
	// digest is the XOR of the digests of all targets' records; equal sets of records have equal digests.
	digest uint64
}

// targetStatus is what this controller keeps for a target besides its record.
type targetStatus struct {
	changed uint64
	// outgoing is the counter at which the record last had to be sent to the other controllers.
	outgoing uint64
	// direct is set while the target announces itself to this controller.
	direct bool
	// relayUntil is until when the record is passed on although the target announces itself elsewhere.
	relayUntil  time.Time
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

// peer is the state kept for another controller.
type peer struct {
	region     string
	run        uint64
	acked      uint64
	ackedHosts uint64
	ackedAt    time.Time
	// currentAt is when it last reported that its routing state is current, currentSince when it began to do so.
	currentAt    time.Time
	currentSince time.Time
	// loadsSentAt is when loads were last sent to it.
	loadsSentAt time.Time
	differs     bool
	// differsSince is when the digests began to differ.
	differsSince time.Time
	repair       repair
}

// Marks are the values of the change counter at the last changes of some kinds.
type Marks struct {
	// Watched is that of the last change that watchers have to receive, Urgent that of the last among them that takes
	// something out of use.
	Watched uint64
	Urgent  uint64
	// Outgoing is that of the last change that this controller has to send to the others, UrgentOutgoing that of the last
	// among them that is binding once they have acknowledged it.
	Outgoing       uint64
	UrgentOutgoing uint64
}

// Marks returns the present marks.
func (g *Gossiper) Marks() Marks { return g.marks }

func (g *Gossiper) init() {
	if g.statuses == nil {
		g.statuses = map[string]*targetStatus{}
		g.peers = map[string]*peer{}
	}
}

// Counter returns the current change counter.
func (g *Gossiper) Counter() uint64 { return g.counter }

// Target returns the newest record of a target.
func (g *Gossiper) Target(name string) (*wire.Record, bool) { return g.targets.Get(name) }

// Announce merges a target's own announcement. It returns the change counter that the other controllers have to
// acknowledge before the announcement is binding.
func (g *Gossiper) Announce(now time.Time, r *wire.Record) uint64 {
	g.init()
	old, known := g.targets.Get(r.GetName())
	if !g.targets.Announce(now, r) {
		return g.passOn(now, r.GetName())
	}
	r, _ = g.targets.Get(r.GetName())
	m := g.status(r.GetName())
	moved := !m.direct
	m.direct = true
	m.announcedAt = now
	m.coldEnd = now.Add(time.Duration(r.GetCold()))
	switch {
	case !known || differ(old, r):
		g.recordChange(now, r.GetName())
	case moved:
		// Only the other controllers need this: the one that the target has left must not mark it as silent.
		g.counter++
		g.recordOutgoing(r.GetName(), m)
	}
	return max(m.changed, m.outgoing)
}

// Restore merges records of targets that have left, which this controller has kept since an earlier run.
func (g *Gossiper) Restore(now time.Time, records []*wire.Record) {
	g.init()
	for _, r := range records {
		g.mergeRecord(now, r)
	}
}

// passOn returns the change counter that the other controllers have to acknowledge before they hold a target's record,
// which an announcement has repeated. Another controller may have received the first announcement, passed it on only to
// this one, and died: what is not sent from here, nobody acknowledges.
func (g *Gossiper) passOn(now time.Time, name string) uint64 {
	m, known := g.statuses[name]
	if !known {
		return 0
	}
	if !g.sends(now, m) && g.hasLeft(name) {
		m.relayUntil = now.Add(relayTime)
		g.counter++
		g.recordOutgoing(name, m)
		g.marks.UrgentOutgoing = g.counter
	}
	return max(m.changed, m.outgoing)
}

// sends reports whether this controller sends a target's record to the others.
func (g *Gossiper) sends(now time.Time, m *targetStatus) bool {
	return m.direct || now.Before(m.relayUntil)
}

// Announces reports whether a target announces itself to this controller directly.
func (g *Gossiper) Announces(name string) bool {
	return g.statuses[name] != nil && g.statuses[name].direct
}

// LastChange returns the counter at which a target's record last changed, or 0 if the target is unknown.
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

// lastOutgoing returns the counter at which a target's record last had to be sent, or 0 if the target is unknown.
func (g *Gossiper) lastOutgoing(name string) uint64 {
	if m, ok := g.statuses[name]; ok {
		return m.outgoing
	}
	return 0
}

// differ compares two records without the fields that change with every announcement. It runs for each announcement,
// where two digests would take most of the time.
func differ(a, b *wire.Record) bool {
	return a.GetName() != b.GetName() || a.GetIncarnation() != b.GetIncarnation() || a.GetService() != b.GetService() ||
		a.GetAddress() != b.GetAddress() || a.GetRegion() != b.GetRegion() || a.GetZone() != b.GetZone() ||
		a.GetSlots() != b.GetSlots() || a.GetState() != b.GetState() || a.GetSilent() != b.GetSilent() ||
		a.GetOverrides() != b.GetOverrides() || a.GetDisplaced() != b.GetDisplaced()
}

func digestOf(r *wire.Record) uint64 {
	bare := proto.CloneOf(r)
	bare.Sequence, bare.Cold, bare.Load = 0, 0, 0
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(bare)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

func (g *Gossiper) recordChange(now time.Time, name string) {
	g.counter++
	m := g.status(name)
	m.changed = g.counter
	g.changeLog.add(g.counter, name, g.LastChange)
	g.marks.Watched = g.counter
	if g.sends(now, m) {
		g.recordOutgoing(name, m)
	}
	if g.hasLeft(name) {
		g.hosts.removeTarget(name)
	}
	record, _ := g.targets.Get(name)
	if record.GetState() != wire.TargetState_TARGET_READY || record.GetSilent() {
		g.marks.Urgent = g.counter
		if m.direct {
			g.marks.UrgentOutgoing = g.counter
		}
	}
	sum := digestOf(record)
	g.digest ^= m.digest ^ sum
	m.digest = sum
}

// recordOutgoing records that a target's record has to be sent to the other controllers.
func (g *Gossiper) recordOutgoing(name string, m *targetStatus) {
	m.outgoing = g.counter
	g.outgoing.add(g.counter, name, g.lastOutgoing)
	g.marks.Outgoing = g.counter
}

// ReportLeave records that a target has said in an answer that it leaves, as if it had announced it here; generation is
// that of the target's record at the entry instance. It reports whether that was not known.
func (g *Gossiper) ReportLeave(now time.Time, target string, generation uint64) bool {
	record, known := g.targets.Get(target)
	if !known || registrar.Generation(record) != generation || g.hasLeft(target) {
		return false
	}
	leaving := proto.CloneOf(record)
	leaving.State = wire.TargetState_TARGET_LEAVING
	if !g.targets.Merge(now, leaving) {
		return false
	}
	g.status(target).relayUntil = now.Add(relayTime)
	g.recordChange(now, target)
	return true
}

// ReportLosses merges reports of requests that were in flight when a target died.
func (g *Gossiper) ReportLosses(now time.Time, reports []*wire.Loss, direct bool) {
	for _, r := range reports {
		if slices.ContainsFunc(g.losses, func(l *loss) bool { return proto.Equal(l.report, r) }) {
			continue
		}
		g.counter++
		g.marks.Watched, g.marks.Urgent = g.counter, g.counter
		if direct {
			g.marks.Outgoing, g.marks.UrgentOutgoing = g.counter, g.counter
		}
		g.losses = append(g.losses, &loss{r, g.counter, direct, now.Add(lossRetention)})
	}
	if extra := len(g.losses) - maxLosses; extra > 0 {
		g.losses = slices.Delete(g.losses, 0, extra)
	}
}

// Tick drops what has expired and marks targets that stopped announcing themselves here as silent. It marks none unless
// more targets announce in time than are overdue: when most of them stop at once, this controller has lost its own
// connections, and traffic must go on.
func (g *Gossiper) Tick(now time.Time) {
	g.init()
	g.recordInstances(g.instances.expire(now, g.counter), true, false)
	g.losses = slices.DeleteFunc(g.losses, func(l *loss) bool { return !now.Before(l.expiresAt) })
	g.backoffs.removeEnded(now)
	g.expireReserved(now)
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
			g.recordChange(now, name)
		}
	}
}

// Changes holds what a watcher has not received yet.
type Changes struct {
	Records []*wire.Record
	// Seen are the entry instances that changed, with removed ones marked lost, or all of them if Whole is set.
	Seen   []*wire.Seen
	Whole  bool
	Losses []*wire.Loss
	// RateLimits are the limits of targets that changed.
	RateLimits []*wire.RateLimit
	// Backoffs are those of targets that changed.
	Backoffs []*wire.Backoff
	// Next is the position that the watcher has reached with these changes; Partial is set if records were left out.
	Next    Position
	Partial bool
}

// Empty reports whether there are no changes.
func (n *Changes) Empty() bool {
	return len(n.Records)+len(n.Seen)+len(n.Losses)+len(n.RateLimits)+len(n.Backoffs) == 0
}

// Position is what a watcher has received: the counter of the changes of targets, and that of entry instances.
type Position struct {
	Records   uint64
	Instances uint64
}

// ChangesSince returns the changes after a position and up to a counter, for a watcher that has received everything up
// to that position: at most limit records, the oldest first, if limit is not zero. What has changed again since that
// counter is left out.
func (g *Gossiper) ChangesSince(now time.Time, p Position, upTo uint64, limit int) *Changes {
	changed := g.changeLog.part(p.Records, upTo, limit, g.LastChange)
	out := &Changes{Next: Position{changed.reached, upTo}, Partial: changed.left}
	for _, name := range changed.names {
		out.Records = g.appendRecord(out.Records, now, name)
	}
	for _, l := range g.losses {
		if l.counter > p.Records && l.counter <= out.Next.Records {
			out.Losses = append(out.Losses, l.report)
		}
	}
	out.RateLimits = g.rateLimitsBetween(p.Records, out.Next.Records)
	out.Backoffs = g.backoffsBetween(now, p.Records, out.Next.Records, false)
	out.Seen, out.Whole = g.instances.since(now, p.Instances, upTo)
	return out
}

// appendRecord appends a copy of a target's record with the time for which the target is still cold.
func (g *Gossiper) appendRecord(list []*wire.Record, now time.Time, name string) []*wire.Record {
	record, ok := g.targets.Get(name)
	if !ok {
		return list
	}
	sent := proto.CloneOf(record)
	sent.Cold = max(0, int64(g.statuses[name].coldEnd.Sub(now)))
	return append(list, sent)
}

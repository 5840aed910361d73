// Package replicator keeps one log of commands equal on several replicas. It is a pure
// state machine: the caller feeds it times and messages, and carries out what Ready returns.
package replicator

import (
	"math/rand/v2"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// Role is what a replica currently does in the group.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String names the role for logs.
func (r Role) String() string {
	switch r {
	case PreCandidate:
		return "precandidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	case Follower:
	}
	return "follower"
}

const (
	maxBatch    = 256
	maxInflight = 8
	// driftParts is the share of a lease given up to clocks that run at different rates: 1/50.
	driftParts = 50
)

// key tells two disks of the same replica name apart.
type key struct {
	name        string
	incarnation uint64
}

func keyOf(m *wire.Member) key {
	return key{m.GetName(), m.GetIncarnation()}
}

// Timing holds the settings of elections and heartbeats.
type Timing struct {
	Election  time.Duration
	Heartbeat time.Duration
	// ReplaceAfter is how long a voter must be silent before a new disk of the same name takes its seat.
	ReplaceAfter time.Duration
}

// Replica is one member of the group. Set the exported fields, then call Start.
type Replica struct {
	Group  uint64
	Self   *wire.Member
	Timing Timing
	Random *rand.Rand
	// Seats is how many replicas vote. Others that join learn the log, and take over a seat that falls free.
	Seats int

	role    Role
	term    uint64
	choice  *wire.Member
	leader  *wire.Member
	commit  uint64
	saved   uint64
	applied uint64
	log     journal
	votes   map[key]bool
	peers   map[key]*progress
	joiners map[key]*wire.Member

	electionAt  time.Time
	heartbeatAt time.Time
	// quietUntil guards the leader's lease: until then no vote is given to anyone else.
	quietUntil time.Time
	leadSince  time.Time
	round      uint64
	rounds     map[uint64]time.Time
	termStart  uint64

	dirty    bool
	unsaved  uint64
	restored *wire.Snapshot
	outbox   []*wire.Message
}

// progress is what a leader knows of another replica.
type progress struct {
	member   *wire.Member
	next     uint64
	match    uint64
	inflight int
	probing  bool
	// confirmed is the send time of the latest round that the replica answered.
	confirmed time.Time
	// since is when this leader began to send to the replica.
	since    time.Time
	resendAt time.Time
}

// Ready is the work that a step left for the caller, in this order: restore or save, send, apply.
type Ready struct {
	Vote     *wire.Vote
	Snapshot *wire.Snapshot
	Entries  []*wire.Entry
	Messages []*wire.Message
	Commits  []*wire.Entry
}

// Start recovers the replica from what its disk holds.
func (r *Replica) Start(now time.Time, vote *wire.Vote, snapshot *wire.Snapshot, entries []*wire.Entry) {
	r.log.reset(snapshot)
	r.log.append(entries...)
	r.term = vote.GetTerm()
	r.choice = vote.GetChoice()
	r.commit = max(vote.GetCommit(), snapshot.GetIndex())
	r.commit = min(r.commit, r.log.last())
	r.applied = snapshot.GetIndex()
	r.saved = r.log.last()
	r.unsaved = r.saved + 1
	r.joiners = map[key]*wire.Member{}
	// A restarted replica has forgotten when it last heard the leader. If it voted at once, a second
	// leader could arise inside the first one's lease and two controllers would grant the same limits.
	r.quietUntil = now.Add(r.Timing.Election)
	r.resetElection(now)
}

// Role returns what the replica does now.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.term }

// LeaderMember returns the leader as last heard, or nil.
func (r *Replica) LeaderMember() *wire.Member { return r.leader }

// Committed returns the highest index known to be committed.
func (r *Replica) Committed() uint64 { return r.commit }

// LeadSince returns when this replica became leader.
func (r *Replica) LeadSince() time.Time { return r.leadSince }

// Members returns the newest replica set.
func (r *Replica) Members() []*wire.Member { return r.log.config().GetMembers() }

// Match returns how far a replica's disk is known to hold the log, and whether it answered lately.
func (r *Replica) Match(now time.Time, m *wire.Member) (uint64, bool) {
	if keyOf(m) == keyOf(r.Self) {
		return r.saved, true
	}
	p, ok := r.peers[keyOf(m)]
	if !ok {
		return 0, false
	}
	return p.match, now.Sub(p.confirmed) < r.Timing.Election
}

// LeaseDeadline returns until when this leader may answer reads without asking anyone.
// It is zero when the replica does not lead or has not yet committed an entry of its term.
func (r *Replica) LeaseDeadline(now time.Time) time.Time {
	if r.role != Leader || r.commit < r.termStart {
		return time.Time{}
	}
	var confirmed []time.Time
	for _, m := range r.voters() {
		if keyOf(m) == keyOf(r.Self) {
			confirmed = append(confirmed, now)
			continue
		}
		confirmed = append(confirmed, r.peers[keyOf(m)].confirmed)
	}
	sort.Slice(confirmed, func(i, j int) bool { return confirmed[i].After(confirmed[j]) })
	base := confirmed[len(confirmed)/2]
	if base.IsZero() {
		return time.Time{}
	}
	return base.Add(r.Timing.Election - r.Timing.Election/driftParts)
}

// Propose appends a command to the leader's log and returns its index and term.
func (r *Replica) Propose(data []byte) (uint64, uint64, error) {
	if r.role != Leader {
		return 0, 0, &LeaderError{Leader: r.leader}
	}
	e := r.appendOwn(wire.EntryKind_ENTRY_COMMAND, data)
	return e.GetIndex(), e.GetTerm(), nil
}

// Flush sends what was proposed since the last heartbeat; call it once after a batch of proposals.
func (r *Replica) Flush(now time.Time) {
	if r.role != Leader {
		return
	}
	for _, p := range r.others() {
		if p.next <= r.log.last() {
			r.sendAppend(now, p)
		}
	}
}

// Tick acts on every deadline that has passed.
func (r *Replica) Tick(now time.Time) {
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if now.Before(r.electionAt) {
		return
	}
	r.resetElection(now)
	if !r.isVoter(keyOf(r.Self)) {
		r.askToJoin()
		return
	}
	r.campaign(now, PreCandidate)
}

func (r *Replica) tickLeader(now time.Time) {
	if now.Before(r.heartbeatAt) {
		return
	}
	// A leader cut off from its quorum learns it only from its own clock: without this step it would
	// go on accepting changes that can never commit, and callers would wait instead of asking elsewhere.
	if r.quorumSilent(now) {
		r.becomeFollower(now, r.term, nil)
		return
	}
	r.heartbeat(now)
	r.arrangeMembers(now)
}

func (r *Replica) quorumSilent(now time.Time) bool {
	heard := 0
	for _, m := range r.voters() {
		if _, recent := r.Match(now, m); recent {
			heard++
		}
	}
	started := now.Sub(r.leadSince) > 2*r.Timing.Election
	return started && heard <= len(r.voters())/2
}

func (r *Replica) heartbeat(now time.Time) {
	r.heartbeatAt = now.Add(r.Timing.Heartbeat)
	r.round++
	r.rounds[r.round] = now
	for round, sent := range r.rounds {
		if now.Sub(sent) > 2*r.Timing.Election {
			delete(r.rounds, round)
		}
	}
	for _, p := range r.others() {
		r.sendAppend(now, p)
	}
	r.advanceCommit()
}

// Ready hands over the pending work and forgets it.
func (r *Replica) Ready() Ready {
	var out Ready
	if r.restored != nil {
		out.Snapshot = r.restored
		r.restored = nil
	}
	if r.unsaved <= r.log.last() {
		out.Entries = r.log.slice(r.unsaved, r.log.last())
		r.unsaved = r.log.last() + 1
	}
	if r.dirty || len(out.Entries) > 0 {
		out.Vote = &wire.Vote{Term: r.term, Choice: r.choice, Commit: r.commit}
		r.dirty = false
	}
	out.Messages = r.outbox
	r.outbox = nil
	if r.commit > r.applied {
		out.Commits = r.log.slice(r.applied+1, r.commit)
		r.applied = r.commit
	}
	return out
}

// Saved tells the replica that everything up to index is durable on its own disk.
func (r *Replica) Saved(index uint64) {
	r.saved = min(index, r.log.last())
	if r.role == Leader {
		r.advanceCommit()
	}
}

// Compact replaces the log up to index by a snapshot of the state there, and returns the snapshot.
func (r *Replica) Compact(index uint64, data []byte) *wire.Snapshot {
	return r.log.compact(index, data)
}

// LogLength returns how many entries are kept in memory after the last snapshot.
func (r *Replica) LogLength() int { return len(r.log.entries) }

func (r *Replica) appendOwn(kind wire.EntryKind, data []byte) *wire.Entry {
	e := &wire.Entry{Index: r.log.last() + 1, Term: r.term, Kind: kind, Data: data}
	r.log.append(e)
	return e
}

func (r *Replica) advanceCommit() {
	var matches []uint64
	for _, m := range r.voters() {
		if keyOf(m) == keyOf(r.Self) {
			matches = append(matches, r.saved)
			continue
		}
		matches = append(matches, r.peers[keyOf(m)].match)
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	index := matches[len(matches)/2]
	// Only an entry of the own term is committed by counting; an older one could still be overwritten.
	if index > r.commit && r.log.term(index) == r.term {
		r.commit = index
	}
}

// others lists the progress of the other members in the order of the replica set, never of a map: equal
// inputs must give equal outputs, or a schedule that failed could not be played again.
func (r *Replica) others() []*progress {
	var out []*progress
	for _, m := range r.log.config().GetMembers() {
		if p, ok := r.peers[keyOf(m)]; ok {
			out = append(out, p)
		}
	}
	return out
}

func (r *Replica) voters() []*wire.Member {
	var out []*wire.Member
	for _, m := range r.log.config().GetMembers() {
		if m.GetVoter() {
			out = append(out, m)
		}
	}
	return out
}

func (r *Replica) isVoter(k key) bool {
	for _, m := range r.voters() {
		if keyOf(m) == k {
			return true
		}
	}
	return false
}

func (r *Replica) resetElection(now time.Time) {
	spread := time.Duration(r.Random.Int64N(int64(r.Timing.Election)))
	r.electionAt = now.Add(r.Timing.Election + spread)
}

func (r *Replica) send(to *wire.Member, m *wire.Message) {
	m.Group = r.Group
	m.From = r.Self
	m.To = to
	r.outbox = append(r.outbox, m)
}

func cloneConfig(c *wire.Config) *wire.Config {
	return proto.CloneOf(c)
}

// Package replicator keeps one log of commands equal on several replicas. It is a pure state machine: the caller passes
// in times and messages, and carries out the work that Ready returns.
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

// String returns the role's name for logs.
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

// driftDivisor is the divisor for the part of a lease that is deducted for clocks that run at different rates: 1/50.
const driftDivisor = 50

// lateDivisor is the divisor for the part of the election timeout after which a replica that did not tick stood still.
const lateDivisor = 4

// memberID distinguishes the disks of one replica name.
type memberID struct {
	name        string
	incarnation uint64
}

func idOf(m *wire.Member) memberID {
	return memberID{m.GetName(), m.GetIncarnation()}
}

// Timing holds the settings of elections and heartbeats.
type Timing struct {
	Election  time.Duration
	Heartbeat time.Duration
	// ReplaceAfter is how long a member must be silent before it may be replaced or removed.
	ReplaceAfter time.Duration
}

// Replica is one member of the group. Set the exported fields, then call Start.
type Replica struct {
	Group uint64
	Self  *wire.Member
	// Run identifies this run of the replica among all others from the same disk. It is never 0.
	Run    uint64
	Timing Timing
	Random *rand.Rand
	// MaxVoters is how many replicas vote at most. Others that join replicate the log as learners, and get a vote when
	// one becomes free.
	MaxVoters int

	role     Role
	term     uint64
	votedFor *wire.Member
	leader   *wire.Member
	commit   uint64
	saved    uint64
	applied  uint64
	// unsnapped is the size in bytes of the applied entries after the latest snapshot.
	unsnapped int
	log       entryLog
	votes     map[memberID]bool
	peers     map[memberID]*progress
	joiners   map[memberID]*wire.Member

	// electionAt is when a replica without a leader begins an election, and when a leader that stood still may step down.
	electionAt  time.Time
	heartbeatAt time.Time
	// tickedAt is when Tick last ran. delayed is set once electionAt has been put off because the replica stood still.
	tickedAt time.Time
	delayed  bool
	// noVoteUntil protects the leader's lease: until then this replica votes for nobody else.
	noVoteUntil time.Time
	// led is the newest term in which this replica was leader. If that was the newest of all when it restarted, it
	// campaigns every heartbeat until resumeUntil.
	led         uint64
	resumeUntil time.Time
	leaderSince time.Time
	round       uint64
	// rounds holds when each recent heartbeat round was sent.
	rounds map[uint64]time.Time
	// termStart is the index of the first entry of this leader's term.
	termStart    uint64
	confirmation confirmation

	// voteUnsaved is set when the vote record has to be saved with the next Ready.
	voteUnsaved bool
	// firstUnsaved is the index of the first entry that Ready has not returned yet.
	firstUnsaved    uint64
	pendingSnapshot *wire.Snapshot
	outbox          []*wire.Message
	// suspended is set after Suspend.
	suspended bool
}

// progress is what a leader records about another replica.
type progress struct {
	member  *wire.Member
	next    uint64
	match   uint64
	window  window
	probing bool
	// confirmed is the send time of the latest round that the replica answered.
	confirmed time.Time
	// answered is the latest round that the replica answered, and run the replica's run that did.
	answered uint64
	run      uint64
	// since is when this leader began to send to the replica.
	since time.Time
	// progressAt is when the replica last acknowledged something that was under way, or when that was sent if nothing was
	// under way before.
	progressAt time.Time
	// resendAt is when what is under way counts as lost.
	resendAt time.Time
	// receiving is the index of the snapshot that is under way, or 0.
	receiving uint64
}

// Ready is the work that the caller has to carry out after a step, in this order: restore or save, send, apply.
type Ready struct {
	Vote     *wire.Vote
	Snapshot *wire.Snapshot
	Entries  []*wire.Entry
	Messages []*wire.Message
	Commits  []*wire.Entry
}

// Start recovers the replica from the contents of its disk.
func (r *Replica) Start(now time.Time, vote *wire.Vote, snapshot *wire.Snapshot, entries []*wire.Entry) {
	r.log.reset(snapshot)
	r.log.append(entries...)
	r.term = vote.GetTerm()
	r.votedFor = vote.GetChoice()
	r.commit = max(vote.GetCommit(), snapshot.GetIndex())
	r.commit = min(r.commit, r.log.last())
	r.applied = snapshot.GetIndex()
	r.saved = r.log.last()
	r.firstUnsaved = r.saved + 1
	r.joiners = map[memberID]*wire.Member{}
	// A restarted replica does not know when it last confirmed the leader. If it voted at once, a second leader could
	// be elected within the first one's lease, and two controllers would grant the same limits.
	r.noVoteUntil = now.Add(r.Timing.Election)
	r.resetElectionTimer(now)
	r.led = vote.GetLed()
	if r.led == r.term && r.led > 0 {
		r.resumeUntil = r.noVoteUntil
		r.electionAt = now.Add(r.Timing.Heartbeat)
	}
}

// Suspend ends the replica's part in the group for good, because its disk has refused what Ready returned last: it no
// longer leads, votes, answers or sends. To take part again, start a new Replica from what the disk holds.
func (r *Replica) Suspend() {
	r.suspended = true
	r.role, r.leader = Follower, nil
	r.outbox, r.pendingSnapshot, r.voteUnsaved = nil, nil, false
	r.firstUnsaved = r.log.last() + 1
	r.commit = r.applied
}

// Role returns the replica's current role.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.term }

// LeaderMember returns the leader known to this replica, or nil.
func (r *Replica) LeaderMember() *wire.Member { return r.leader }

// Committed returns the highest index known to be committed.
func (r *Replica) Committed() uint64 { return r.commit }

// LeaderSince returns when this replica last became leader.
func (r *Replica) LeaderSince() time.Time { return r.leaderSince }

// Members returns the newest replica set.
func (r *Replica) Members() []*wire.Member { return r.log.config().GetMembers() }

// Match returns the index up to which a replica's disk is known to hold the log, and whether the replica has answered
// within the election timeout.
func (r *Replica) Match(now time.Time, m *wire.Member) (uint64, bool) {
	if idOf(m) == idOf(r.Self) {
		return r.saved, true
	}
	p, ok := r.peers[idOf(m)]
	if !ok {
		return 0, false
	}
	return p.match, now.Sub(p.confirmed) < r.Timing.Election
}

// LeaseDeadline returns until when this leader may answer reads without asking other replicas. It is zero when the
// replica does not lead or has not yet committed an entry of its term.
func (r *Replica) LeaseDeadline(now time.Time) time.Time {
	if r.role != Leader || r.commit < r.termStart {
		return time.Time{}
	}
	var confirmed []time.Time
	for _, m := range r.voters() {
		if idOf(m) == idOf(r.Self) {
			confirmed = append(confirmed, now)
			continue
		}
		confirmed = append(confirmed, r.peers[idOf(m)].confirmed)
	}
	sort.Slice(confirmed, func(i, j int) bool { return confirmed[i].After(confirmed[j]) })
	base := confirmed[len(confirmed)/2]
	if base.IsZero() {
		return time.Time{}
	}
	return base.Add(r.Timing.Election - r.Timing.Election/driftDivisor)
}

// Propose appends a command to the leader's log and returns its index and term, or a NotLeaderError if this replica
// does not lead.
func (r *Replica) Propose(data []byte) (uint64, uint64, error) {
	if r.role != Leader {
		return 0, 0, &NotLeaderError{Leader: r.leader}
	}
	e := r.appendOwn(wire.EntryKind_ENTRY_COMMAND, data)
	return e.GetIndex(), e.GetTerm(), nil
}

// Flush sends the entries that have been proposed but not sent yet; call it once after a batch of proposals.
func (r *Replica) Flush(now time.Time) {
	if r.role != Leader {
		return
	}
	for _, p := range r.others() {
		r.sendEntries(now, p)
	}
}

// Tick handles every deadline that has passed.
func (r *Replica) Tick(now time.Time) {
	if r.suspended {
		return
	}
	r.delayElection(now)
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if now.Before(r.electionAt) {
		return
	}
	r.resetElectionTimer(now)
	if now.Before(r.resumeUntil) {
		r.electionAt = now.Add(r.Timing.Heartbeat)
	}
	if !r.isVoter(idOf(r.Self)) {
		// Not after an election timeout: the group has less time than that to give a new disk its vote.
		r.electionAt = now.Add(2 * r.Timing.Heartbeat)
		r.requestJoin()
		return
	}
	r.campaign(now, PreCandidate)
}

// delayElection puts off the next election after this replica stood still, as it does during a slow sync of its disk: it could
// not receive what the others sent, nor send what it had to. Otherwise a candidate whose vote is saved slowly would begin
// anew before the others can answer, and so on. It does so once until the timer is set again, since a replica that is always
// late has to begin elections, too.
func (r *Replica) delayElection(now time.Time) {
	late := !r.tickedAt.IsZero() && now.Sub(r.tickedAt) > r.Timing.Election/lateDivisor
	r.tickedAt = now
	if late && !r.delayed && r.isVoter(idOf(r.Self)) {
		r.resetElectionTimer(now)
		r.delayed = true
	}
}

func (r *Replica) tickLeader(now time.Time) {
	if r.LeaseDeadline(now).After(now) {
		r.confirmation.at = now
	}
	if now.Before(r.heartbeatAt) {
		return
	}
	// A leader cut off from its quorum can detect this only by its own clock. Without this step it would go on
	// accepting changes that can never commit, and callers would wait instead of asking another controller.
	switch lost := r.quorumLost(now); {
	case !lost:
		r.delayed = false
	case !r.delayed || !now.Before(r.electionAt):
		r.becomeFollower(now, r.term, nil)
		return
	}
	r.heartbeat(now)
	r.reconcileMembers(now)
}

func (r *Replica) quorumLost(now time.Time) bool {
	responding := 0
	for _, m := range r.voters() {
		if _, recent := r.Match(now, m); recent {
			responding++
		}
	}
	started := now.Sub(r.leaderSince) > 2*r.Timing.Election
	return started && responding <= len(r.voters())/2
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
		r.sendHeartbeat(now, p)
	}
	r.advanceCommit()
}

// Ready returns the pending work and clears it.
func (r *Replica) Ready() Ready {
	var out Ready
	if r.pendingSnapshot != nil {
		out.Snapshot = r.pendingSnapshot
		r.pendingSnapshot = nil
	}
	if r.firstUnsaved <= r.log.last() {
		out.Entries = r.log.slice(r.firstUnsaved, r.log.last())
		r.firstUnsaved = r.log.last() + 1
	}
	if r.voteUnsaved || len(out.Entries) > 0 {
		out.Vote = &wire.Vote{Term: r.term, Choice: r.votedFor, Commit: r.commit, Led: r.led}
		r.voteUnsaved = false
	}
	out.Messages = r.outbox
	r.outbox = nil
	if r.commit > r.applied {
		out.Commits = r.log.slice(r.applied+1, r.commit)
		r.applied = r.commit
		for _, e := range out.Commits {
			r.unsnapped += entrySize(e)
		}
	}
	return out
}

// MarkSaved records that everything up to index is durable on the replica's own disk.
func (r *Replica) MarkSaved(index uint64) {
	r.saved = min(index, r.log.last())
	if r.role == Leader {
		r.advanceCommit()
	}
}

// Compact makes a snapshot of the state at index, which must be the last applied one, and returns it. The entries that
// the snapshot before it covers are dropped.
func (r *Replica) Compact(index uint64, data []byte) *wire.Snapshot {
	r.unsnapped = 0
	return r.log.compact(index, data)
}

// SinceSnapshot returns how many entries have been applied since the latest snapshot, and their size in bytes.
func (r *Replica) SinceSnapshot() (entries uint64, bytes int) {
	return r.applied - r.log.snapshot.GetIndex(), r.unsnapped
}

// SnapshotSize returns the size in bytes of the state in the latest snapshot.
func (r *Replica) SnapshotSize() int { return len(r.log.snapshot.GetData()) }

func (r *Replica) appendOwn(kind wire.EntryKind, data []byte) *wire.Entry {
	e := &wire.Entry{Index: r.log.last() + 1, Term: r.term, Kind: kind, Data: data}
	r.log.append(e)
	return e
}

func (r *Replica) advanceCommit() {
	var matches []uint64
	for _, m := range r.voters() {
		if idOf(m) == idOf(r.Self) {
			matches = append(matches, r.saved)
			continue
		}
		matches = append(matches, r.peers[idOf(m)].match)
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	index := matches[len(matches)/2]
	// Only an entry of the leader's own term is committed by counting replicas; an older one could still be
	// overwritten.
	if index > r.commit && r.log.term(index) == r.term {
		if r.commit < r.termStart {
			// The next tick tells the followers, which can't confirm what they hold before.
			r.heartbeatAt = time.Time{}
		}
		r.commit = index
	}
}

// others returns the progress of the other members in the order of the replica set, never of a map: equal inputs must
// give equal outputs, or a failed schedule could not be replayed.
func (r *Replica) others() []*progress {
	var out []*progress
	for _, m := range r.log.config().GetMembers() {
		if p, ok := r.peers[idOf(m)]; ok {
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

func (r *Replica) isVoter(k memberID) bool {
	for _, m := range r.voters() {
		if idOf(m) == k {
			return true
		}
	}
	return false
}

func (r *Replica) resetElectionTimer(now time.Time) {
	jitter := time.Duration(r.Random.Int64N(int64(r.Timing.Election)))
	r.electionAt = now.Add(r.Timing.Election + jitter)
	r.delayed = false
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

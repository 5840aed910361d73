package replicator

import (
	"time"

	"chervilrail.example/core/wire"
)

// campaign requests votes. The pre-vote round does not raise the term, so that a replica that was cut off and returns
// does not depose a leader that the others can reach.
func (r *Replica) campaign(now time.Time, role Role) {
	r.role = role
	r.leader = nil
	r.votes = map[memberID]bool{idOf(r.Self): true}
	kind := wire.MessageKind_MESSAGE_PREVOTE
	if role == Candidate {
		kind = wire.MessageKind_MESSAGE_VOTE
		r.term++
		r.votedFor = r.Self
		r.voteUnsaved = true
	}
	for _, m := range r.voters() {
		if idOf(m) == idOf(r.Self) {
			continue
		}
		r.send(m, &wire.Message{
			Kind:    kind,
			Term:    r.campaignTerm(),
			Index:   r.log.last(),
			Logterm: r.log.term(r.log.last()),
			Led:     r.led,
		})
	}
	r.countVotes(now)
}

func (r *Replica) campaignTerm() uint64 {
	if r.role == PreCandidate {
		return r.term + 1
	}
	return r.term
}

func (r *Replica) countVotes(now time.Time) {
	granted := 0
	for _, m := range r.voters() {
		if r.votes[idOf(m)] {
			granted++
		}
	}
	if granted <= len(r.voters())/2 {
		return
	}
	switch r.role {
	case PreCandidate:
		r.campaign(now, Candidate)
	case Candidate:
		r.becomeLeader(now)
	case Follower, Leader:
	}
}

func (r *Replica) becomeLeader(now time.Time) {
	r.role = Leader
	r.leader = r.Self
	r.leaderSince = now
	r.led, r.voteUnsaved = r.term, true
	r.rounds = map[uint64]time.Time{}
	r.peers = map[memberID]*progress{}
	r.joiners = map[memberID]*wire.Member{}
	r.syncPeers(now)
	e := r.appendOwn(wire.EntryKind_ENTRY_EMPTY, nil)
	r.termStart = e.GetIndex()
	r.heartbeat(now)
}

// syncPeers keeps one progress for each other member of the newest replica set.
func (r *Replica) syncPeers(now time.Time) {
	present := map[memberID]bool{}
	for _, m := range r.log.config().GetMembers() {
		k := idOf(m)
		present[k] = true
		if k == idOf(r.Self) {
			continue
		}
		if p, ok := r.peers[k]; ok {
			p.member = m
			continue
		}
		r.peers[k] = &progress{member: m, next: r.log.last() + 1, probing: true, since: now}
	}
	for k := range r.peers {
		if !present[k] {
			delete(r.peers, k)
		}
	}
}

func (r *Replica) becomeFollower(now time.Time, term uint64, leader *wire.Member) {
	if term > r.term {
		r.term = term
		r.votedFor = nil
		r.voteUnsaved = true
	}
	r.role = Follower
	r.leader = leader
	r.peers = nil
	r.resetElectionTimer(now)
}

// leaderAlive reports whether some leader may still hold a lease that this replica confirmed, when a candidate requests
// its vote. The only leader that may is that of this replica's term. If it is the candidate itself, it leads no longer:
// it has restarted, or lost its quorum. After a restart of all replicas it need not wait for the end of its own lease.
func (r *Replica) leaderAlive(now time.Time, candidate *wire.Message) bool {
	if r.role == Leader {
		return r.LeaseDeadline(now).After(now)
	}
	if candidate.GetLed() > 0 && candidate.GetLed() == r.term {
		return false
	}
	return now.Before(r.noVoteUntil)
}

func (r *Replica) upToDate(m *wire.Message) bool {
	lastTerm := r.log.term(r.log.last())
	if m.GetLogterm() != lastTerm {
		return m.GetLogterm() > lastTerm
	}
	return m.GetIndex() >= r.log.last()
}

func (r *Replica) handlePrevote(now time.Time, m *wire.Message) {
	r.handleNonMember(m.GetFrom())
	grant := m.GetTerm() > r.term && r.upToDate(m) && !r.leaderAlive(now, m)
	r.send(m.GetFrom(), &wire.Message{
		Kind:   wire.MessageKind_MESSAGE_PREVOTE_REPLY,
		Term:   r.replyTerm(grant, m),
		Reject: !grant,
	})
}

func (r *Replica) replyTerm(grant bool, m *wire.Message) uint64 {
	if grant {
		return m.GetTerm()
	}
	return r.term
}

func (r *Replica) handleVote(now time.Time, m *wire.Message) {
	if r.leaderAlive(now, m) {
		return
	}
	if m.GetTerm() > r.term {
		r.becomeFollower(now, m.GetTerm(), nil)
	}
	mayGrant := r.votedFor == nil || idOf(r.votedFor) == idOf(m.GetFrom())
	grant := m.GetTerm() == r.term && mayGrant && r.role == Follower && r.upToDate(m)
	if grant {
		r.votedFor = m.GetFrom()
		r.voteUnsaved = true
		r.resetElectionTimer(now)
	}
	r.send(m.GetFrom(), &wire.Message{
		Kind:   wire.MessageKind_MESSAGE_VOTE_REPLY,
		Term:   r.term,
		Reject: !grant,
	})
}

func (r *Replica) handleVoteReply(now time.Time, m *wire.Message, asked Role) {
	if r.role != asked {
		return
	}
	if m.GetReject() {
		if m.GetTerm() > r.term {
			r.becomeFollower(now, m.GetTerm(), nil)
		}
		return
	}
	if m.GetTerm() != r.campaignTerm() {
		return
	}
	r.votes[idOf(m.GetFrom())] = true
	r.countVotes(now)
}

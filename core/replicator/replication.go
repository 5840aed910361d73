package replicator

import (
	"time"

	"chervilrail.example/core/wire"
)

// Step processes one message from another replica.
func (r *Replica) Step(now time.Time, m *wire.Message) {
	if r.suspended {
		return
	}
	if !r.addressed(m) {
		return
	}
	switch m.GetKind() {
	case wire.MessageKind_MESSAGE_PREVOTE:
		r.handlePrevote(now, m)
	case wire.MessageKind_MESSAGE_PREVOTE_REPLY:
		r.handleVoteReply(now, m, PreCandidate)
	case wire.MessageKind_MESSAGE_VOTE:
		r.handleVote(now, m)
	case wire.MessageKind_MESSAGE_VOTE_REPLY:
		r.handleVoteReply(now, m, Candidate)
	case wire.MessageKind_MESSAGE_APPEND:
		r.handleAppend(now, m)
	case wire.MessageKind_MESSAGE_APPEND_REPLY:
		r.handleAppendReply(now, m)
	case wire.MessageKind_MESSAGE_SNAPSHOT:
		r.handleSnapshot(now, m)
	case wire.MessageKind_MESSAGE_JOIN:
		r.handleJoin(m)
	case wire.MessageKind_MESSAGE_NONE:
	}
}

// addressed reports whether a message is meant for this disk and group; messages for others are dropped. A replica
// whose disk was replaced would otherwise answer for the entries that its old disk acknowledged, and a committed change
// could be lost. A replica that belongs to no group yet adopts that of the message.
func (r *Replica) addressed(m *wire.Message) bool {
	if m.GetFrom() == nil {
		return false
	}
	if m.GetKind() == wire.MessageKind_MESSAGE_JOIN {
		return m.GetGroup() == 0 || m.GetGroup() == r.Group
	}
	if idOf(m.GetTo()) != idOf(r.Self) {
		return false
	}
	if r.Group == 0 {
		r.Group = m.GetGroup()
	}
	return m.GetGroup() == r.Group
}

// sendAppend sends a replica the entries it lacks, or an empty heartbeat.
func (r *Replica) sendAppend(now time.Time, p *progress) {
	if p.next <= r.log.base.index {
		r.sendSnapshot(now, p)
		return
	}
	previous := p.next - 1
	var entries []*wire.Entry
	if r.maySend(now, p) {
		end := min(r.log.last(), p.next+maxBatch-1)
		entries = r.log.slice(p.next, end)
	}
	r.send(p.member, &wire.Message{
		Kind:     wire.MessageKind_MESSAGE_APPEND,
		Term:     r.term,
		Index:    previous,
		Logterm:  r.log.term(previous),
		Entries:  entries,
		Commit:   r.commit,
		Round:    r.round,
		Answered: r.answeredBy(now, p),
	})
	if len(entries) == 0 {
		return
	}
	p.inflight++
	p.resendAt = now.Add(r.Timing.Election)
	if !p.probing {
		p.next += uint64(len(entries))
	}
}

func (r *Replica) maySend(now time.Time, p *progress) bool {
	if p.next > r.log.last() {
		return false
	}
	if !now.Before(p.resendAt) {
		p.inflight = 0
	}
	if p.probing {
		return p.inflight == 0
	}
	return p.inflight < maxInflight
}

func (r *Replica) sendSnapshot(now time.Time, p *progress) {
	if now.Before(p.resendAt) {
		// The heartbeat is still sent, so that a replica that is catching up keeps receiving messages from the leader.
		r.send(p.member, &wire.Message{
			Kind:  wire.MessageKind_MESSAGE_APPEND,
			Term:  r.term,
			Index: r.log.last() + 1,
			Round: r.round,
		})
		return
	}
	p.resendAt = now.Add(2 * r.Timing.Election)
	r.send(p.member, &wire.Message{
		Kind:     wire.MessageKind_MESSAGE_SNAPSHOT,
		Term:     r.term,
		Snapshot: r.log.snapshot,
		Round:    r.round,
	})
}

// acceptLeader accepts the sender as leader, or rejects its message if its term is over.
func (r *Replica) acceptLeader(now time.Time, m *wire.Message) bool {
	if m.GetTerm() < r.term {
		r.reply(m, &wire.Message{Reject: true, Hint: r.log.last()})
		return false
	}
	r.becomeFollower(now, m.GetTerm(), m.GetFrom())
	r.noVoteUntil = now.Add(r.Timing.Election)
	r.confirmation.note(now, m)
	return true
}

func (r *Replica) reply(m, answer *wire.Message) {
	answer.Kind = wire.MessageKind_MESSAGE_APPEND_REPLY
	answer.Term = r.term
	answer.Round = m.GetRound()
	r.send(m.GetFrom(), answer)
}

func (r *Replica) handleAppend(now time.Time, m *wire.Message) {
	if !r.acceptLeader(now, m) {
		return
	}
	if m.GetIndex() < r.commit {
		// Entries at or below the commit index are equal on both sides; they are skipped, and the reply covers them.
		r.acceptAfterCommit(m)
		return
	}
	if m.GetIndex() > r.log.last() || r.log.term(m.GetIndex()) != m.GetLogterm() {
		r.reply(m, &wire.Message{Reject: true, Index: m.GetIndex(), Hint: min(r.log.last(), m.GetIndex()-1)})
		return
	}
	r.accept(m, m.GetEntries())
}

func (r *Replica) acceptAfterCommit(m *wire.Message) {
	rest := m.GetEntries()
	for len(rest) > 0 && rest[0].GetIndex() <= r.commit {
		rest = rest[1:]
	}
	r.accept(m, rest)
}

func (r *Replica) accept(m *wire.Message, entries []*wire.Entry) {
	for _, e := range entries {
		if e.GetIndex() <= r.log.last() && r.log.term(e.GetIndex()) == e.GetTerm() {
			continue
		}
		if e.GetIndex() != r.log.last()+1 && e.GetIndex() > r.log.last() {
			break
		}
		r.firstUnsaved = min(r.firstUnsaved, e.GetIndex())
		r.saved = min(r.saved, e.GetIndex()-1)
		r.log.append(e)
	}
	matched := m.GetIndex() + uint64(len(m.GetEntries()))
	matched = max(matched, r.commit)
	matched = min(matched, r.log.last())
	if commit := min(m.GetCommit(), matched); commit > r.commit {
		r.commit = commit
	}
	r.confirm(m)
	r.reply(m, &wire.Message{Index: matched})
}

func (r *Replica) handleAppendReply(now time.Time, m *wire.Message) {
	if m.GetTerm() > r.term {
		r.becomeFollower(now, m.GetTerm(), nil)
		return
	}
	if r.role != Leader || m.GetTerm() < r.term {
		return
	}
	p, ok := r.peers[idOf(m.GetFrom())]
	if !ok {
		return
	}
	r.recordConfirmation(p, m.GetRound())
	if m.GetReject() {
		r.handleRejection(now, p, m)
		return
	}
	r.handleAccepted(now, p, m.GetIndex())
}

// recordConfirmation records when the round that a replica replied to was sent. A lease counts from that time, never
// from when the reply arrived.
func (r *Replica) recordConfirmation(p *progress, round uint64) {
	sent, ok := r.rounds[round]
	if ok && sent.After(p.confirmed) {
		p.confirmed = sent
		p.answered = round
	}
}

func (r *Replica) handleRejection(now time.Time, p *progress, m *wire.Message) {
	if m.GetIndex() > r.log.last() {
		return
	}
	if m.GetHint()+1 >= p.next && !p.probing {
		return
	}
	if m.GetHint() < p.match {
		// A late rejection, or a replica that lost what it acknowledged. An immediate retry could repeat endlessly; the
		// next heartbeat retries.
		return
	}
	p.next = max(p.match+1, min(m.GetHint()+1, r.log.last()+1))
	p.probing = true
	p.inflight = 0
	p.resendAt = now
	r.sendAppend(now, p)
}

func (r *Replica) handleAccepted(now time.Time, p *progress, index uint64) {
	if p.inflight > 0 {
		p.inflight--
	}
	if index > p.match {
		p.match = index
	}
	p.probing = false
	p.next = max(p.next, p.match+1)
	r.advanceCommit()
	if p.next <= r.log.last() && p.inflight == 0 {
		r.sendAppend(now, p)
	}
}

func (r *Replica) handleSnapshot(now time.Time, m *wire.Message) {
	if !r.acceptLeader(now, m) {
		return
	}
	s := m.GetSnapshot()
	if s.GetIndex() <= r.commit {
		r.reply(m, &wire.Message{Index: r.commit})
		return
	}
	if r.log.term(s.GetIndex()) == s.GetTerm() {
		// The log already holds the entries that the snapshot covers. Replacing it would drop entries after the
		// snapshot that this replica has acknowledged and that a leader may have counted.
		r.commit = s.GetIndex()
		r.reply(m, &wire.Message{Index: s.GetIndex()})
		return
	}
	r.log.reset(s)
	r.pendingSnapshot = s
	r.commit = s.GetIndex()
	r.applied, r.unsnapped = s.GetIndex(), 0
	r.saved = s.GetIndex()
	r.firstUnsaved = s.GetIndex() + 1
	r.voteUnsaved = true
	r.reply(m, &wire.Message{Index: s.GetIndex()})
}

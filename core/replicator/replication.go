package replicator

import (
	"math"
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

// sendHeartbeat sends a replica what it lacks, or an empty message.
func (r *Replica) sendHeartbeat(now time.Time, p *progress) {
	if r.sendEntries(now, p) {
		return
	}
	r.sendAppend(now, p, r.heartbeatIndex(p), nil)
}

// beyondLog is the index that an empty message refers to if the log no longer holds what the replica has. It is beyond each
// log, so that the rejection says nothing about entries that are added meanwhile.
const beyondLog = math.MaxUint64

// heartbeatIndex returns the index that an empty message refers to. A message that overtakes large ones refers to what the
// replica is known to hold: it would be rejected otherwise, and all that is under way would be sent again.
func (r *Replica) heartbeatIndex(p *progress) uint64 {
	switch {
	case p.next <= r.log.base.index:
		return beyondLog
	case !p.probing && p.window.bytes > BulkBytes:
		if p.match < r.log.base.index {
			return beyondLog
		}
		return p.match
	default:
		return p.next - 1
	}
}

// sendEntries sends a replica as many of the entries that it lacks as may be under way, or a snapshot. It reports whether
// it sent anything.
func (r *Replica) sendEntries(now time.Time, p *progress) bool {
	r.expireWindow(now, p)
	if p.next <= r.log.base.index {
		return r.sendSnapshot(now, p)
	}
	sent := false
	for p.next <= r.log.last() && (!p.probing || p.window.empty()) {
		entries := r.log.slice(p.next, min(r.log.last(), p.next+maxBatch-1))
		count, bytes := p.window.admit(entries)
		if count == 0 {
			break
		}
		r.sendAppend(now, p, p.next-1, entries[:count])
		if p.window.empty() {
			p.progressAt = now
		}
		p.window.add(sentEntries{previous: p.next - 1, last: p.next + uint64(count) - 1, bytes: bytes})
		p.resendAt = r.transferDeadline(p.progressAt, p.window.bytes)
		if !p.probing {
			p.next += uint64(count)
		}
		sent = true
	}
	return sent
}

func (r *Replica) sendAppend(now time.Time, p *progress, previous uint64, entries []*wire.Entry) {
	answered, run := r.answeredBy(now, p)
	r.send(p.member, &wire.Message{
		Kind:     wire.MessageKind_MESSAGE_APPEND,
		Term:     r.term,
		Index:    previous,
		Logterm:  r.log.term(previous),
		Entries:  entries,
		Commit:   r.commit,
		Round:    r.round,
		Answered: answered,
		Run:      run,
	})
}

// transferDeadline returns when a number of bytes that are sent now count as lost if nothing was acknowledged by then.
func (r *Replica) transferDeadline(now time.Time, bytes int) time.Time {
	return now.Add(r.Timing.Election + time.Duration(bytes)*time.Second/transferRate)
}

// expireWindow returns to what a replica is known to hold, and to one message at a time, once what is under way counts as
// lost.
func (r *Replica) expireWindow(now time.Time, p *progress) {
	if p.window.empty() || now.Before(p.resendAt) {
		return
	}
	p.window.clear()
	if !p.probing {
		p.probing = true
		p.next = p.match + 1
	}
}

// sendSnapshot sends a replica that answers the latest snapshot, unless it or another one is being sent one: each copy is
// encoded for itself. It reports whether it sent it.
func (r *Replica) sendSnapshot(now time.Time, p *progress) bool {
	if _, answers := r.Match(now, p.member); !answers {
		return false
	}
	for _, o := range r.others() {
		if o.receiving > 0 && now.Before(o.resendAt) {
			return false
		}
	}
	p.receiving = r.log.snapshot.GetIndex()
	p.window.clear()
	p.resendAt = r.transferDeadline(now, r.SnapshotSize()).Add(r.Timing.Election)
	r.send(p.member, &wire.Message{
		Kind:     wire.MessageKind_MESSAGE_SNAPSHOT,
		Term:     r.term,
		Snapshot: r.log.snapshot,
		Round:    r.round,
	})
	return true
}

// acceptLeader accepts the sender as leader, or rejects its message if its term is over.
func (r *Replica) acceptLeader(now time.Time, m *wire.Message) bool {
	if m.GetTerm() < r.term {
		// Without the round: the sender may lead this replica's term by now, and have begun its rounds anew.
		r.send(m.GetFrom(), &wire.Message{
			Kind: wire.MessageKind_MESSAGE_APPEND_REPLY, Term: r.term, Reject: true, Hint: r.log.last(),
		})
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
	answer.Run = r.Run
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
	r.recordConfirmation(p, m)
	if m.GetReject() {
		r.handleRejection(now, p, m)
		return
	}
	r.handleAccepted(now, p, m.GetIndex())
}

// recordConfirmation records when the round that a replica replied to was sent. A lease counts from that time, never
// from when the reply arrived.
func (r *Replica) recordConfirmation(p *progress, m *wire.Message) {
	sent, ok := r.rounds[m.GetRound()]
	if ok && sent.After(p.confirmed) {
		p.confirmed = sent
		p.answered, p.run = m.GetRound(), m.GetRun()
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
	if p.window.bytes > BulkBytes && !p.window.includes(m.GetIndex()) {
		// The message was sent before what is under way now, and was itself overtaken.
		return
	}
	next := max(p.match+1, min(m.GetHint()+1, r.log.last()+1))
	if now.Before(p.resendAt) && (p.receiving > 0 || p.probing && next == p.next && !p.window.empty()) {
		// What the replica lacks is under way. The messages before it, each rejected, must not each have it sent again.
		return
	}
	p.next = next
	p.probing = true
	p.window.clear()
	r.sendHeartbeat(now, p)
}

func (r *Replica) handleAccepted(now time.Time, p *progress, index uint64) {
	p.match = max(p.match, index)
	if p.probing && !p.window.empty() {
		p.next = p.window.last() + 1
	}
	if p.window.acknowledge(p.match) {
		p.progressAt = now
		p.resendAt = r.transferDeadline(now, p.window.bytes)
	}
	if p.match >= p.receiving {
		p.receiving = 0
	}
	p.probing = false
	p.next = max(p.next, p.match+1)
	r.advanceCommit()
	r.sendEntries(now, p)
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

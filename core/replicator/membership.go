package replicator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// maxMembers bounds the replicas of a group, learners included; the leader sends to each.
const maxMembers = 16

// askToJoin announces a replica without a seat; the caller sends the message to every other controller.
func (r *Replica) askToJoin() {
	r.outbox = append(r.outbox, &wire.Message{
		Kind:  wire.MessageKind_MESSAGE_JOIN,
		Group: r.Group,
		From:  r.Self,
	})
}

// handleJoin passes a join on to the leader: a newcomer knows a few addresses only, and the leader may be at none
// of them.
func (r *Replica) handleJoin(m *wire.Message) {
	if r.role == Leader {
		r.joiners[keyOf(m.GetFrom())] = m.GetFrom()
		return
	}
	if r.leader != nil && m.GetTo() == nil {
		r.outbox = append(r.outbox, &wire.Message{
			Kind: wire.MessageKind_MESSAGE_JOIN, Group: r.Group, From: m.GetFrom(), To: r.leader,
		})
	}
}

// noteOutsider lets a replica back in whose seat was given away while it was cut off. Its own log still counts
// it as a voter, so it campaigns in vain and would never ask to join.
func (r *Replica) noteOutsider(from *wire.Member) {
	if !r.member(keyOf(from)) {
		r.handleJoin(&wire.Message{From: from})
	}
}

// arrangeMembers makes at most one membership change at a time: a new disk is first a replica without
// a vote, and gets the vote only when it durably holds everything committed. A disk that voted while
// empty could elect a leader that lacks an acknowledged change.
func (r *Replica) arrangeMembers(now time.Time) {
	if r.commit < r.termStart || r.log.configIndex() > r.commit {
		return
	}
	if r.promote(now) || r.admit(now) {
		return
	}
	r.dismiss(now)
}

// promote gives a vote to a replica that has caught up, if a seat is free or falls free.
func (r *Replica) promote(now time.Time) bool {
	for _, m := range r.log.config().GetMembers() {
		match, recent := r.Match(now, m)
		if m.GetVoter() || !recent || match < r.commit {
			continue
		}
		if r.freeSeat(now, m) {
			return true
		}
		if len(r.voters()) >= r.Seats {
			continue
		}
		config := cloneConfig(r.log.config())
		for _, c := range config.GetMembers() {
			if keyOf(c) == keyOf(m) {
				c.Voter = true
			}
		}
		r.changeConfig(now, config)
		return true
	}
	return false
}

// freeSeat takes the seat of the learner's lost predecessor, or, with all seats taken, of a voter that has been
// silent for long: a group that waits for an instance that is gone for good survives one loss less.
func (r *Replica) freeSeat(now time.Time, learner *wire.Member) bool {
	config := cloneConfig(r.log.config())
	at := predecessor(config, learner)
	if at < 0 && len(r.voters()) >= r.Seats {
		at = slices.IndexFunc(config.GetMembers(), func(m *wire.Member) bool { return m.GetVoter() && r.silent(now, m) })
	}
	if at < 0 {
		return false
	}
	config.Members = slices.Delete(config.Members, at, at+1)
	r.changeConfig(now, config)
	return true
}

// predecessor finds another disk of the same replica name.
func predecessor(c *wire.Config, m *wire.Member) int {
	return slices.IndexFunc(c.GetMembers(), func(o *wire.Member) bool {
		return o.GetName() == m.GetName() && o.GetIncarnation() != m.GetIncarnation()
	})
}

// dismiss drops a replica without a vote that stopped answering; it joins again when it is back.
func (r *Replica) dismiss(now time.Time) {
	at := slices.IndexFunc(r.log.config().GetMembers(), func(m *wire.Member) bool {
		return !m.GetVoter() && r.silent(now, m)
	})
	if at < 0 {
		return
	}
	config := cloneConfig(r.log.config())
	config.Members = slices.Delete(config.Members, at, at+1)
	r.changeConfig(now, config)
}

func (r *Replica) admit(now time.Time) bool {
	for _, k := range sortedKeys(r.joiners) {
		j := r.joiners[k]
		delete(r.joiners, k)
		if r.member(k) || !r.seatFree(now, j) || len(r.log.config().GetMembers()) >= maxMembers {
			continue
		}
		config := cloneConfig(r.log.config())
		learner := proto.CloneOf(j)
		learner.Voter = false
		config.Members = append(config.Members, learner)
		r.changeConfig(now, config)
		return true
	}
	return false
}

func sortedKeys(joiners map[key]*wire.Member) []key {
	return slices.SortedFunc(maps.Keys(joiners), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.incarnation, b.incarnation))
	})
}

func (r *Replica) member(k key) bool {
	return slices.ContainsFunc(r.log.config().GetMembers(), func(m *wire.Member) bool { return keyOf(m) == k })
}

// seatFree holds a newcomer off while another disk of its name still answers: two processes started
// under one name by mistake must not push each other out in turn.
func (r *Replica) seatFree(now time.Time, j *wire.Member) bool {
	at := predecessor(r.log.config(), j)
	if at < 0 {
		return true
	}
	return r.silent(now, r.log.config().GetMembers()[at])
}

// silent reports whether a member has not answered this leader for the time after which it may be replaced,
// counted from when the leader began to send to it.
func (r *Replica) silent(now time.Time, m *wire.Member) bool {
	p, ok := r.peers[keyOf(m)]
	if !ok {
		return false
	}
	return now.Sub(p.confirmed) > r.Timing.ReplaceAfter && now.Sub(p.since) > r.Timing.ReplaceAfter
}

func (r *Replica) changeConfig(now time.Time, c *wire.Config) {
	data, err := proto.Marshal(c)
	if err != nil {
		return
	}
	r.appendOwn(wire.EntryKind_ENTRY_CONFIG, data)
	r.syncPeers(now)
	r.Flush(now)
}

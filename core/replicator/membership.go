package replicator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// maxMembers bounds the replicas of a group, learners included, since the leader sends to each of them.
const maxMembers = 16

// requestJoin queues the join request of a replica without a vote; the caller sends the message to every other
// controller.
func (r *Replica) requestJoin() {
	r.outbox = append(r.outbox, &wire.Message{
		Kind:  wire.MessageKind_MESSAGE_JOIN,
		Group: r.Group,
		From:  r.Self,
	})
}

// handleJoin records a join request on the leader; another replica forwards it to the leader. A new replica knows only
// a few addresses, and the leader's may not be among them.
func (r *Replica) handleJoin(m *wire.Message) {
	if r.role == Leader {
		r.joiners[idOf(m.GetFrom())] = m.GetFrom()
		return
	}
	if r.leader != nil && m.GetTo() == nil {
		r.outbox = append(r.outbox, &wire.Message{
			Kind: wire.MessageKind_MESSAGE_JOIN, Group: r.Group, From: m.GetFrom(), To: r.leader,
		})
	}
}

// handleNonMember treats a message from a replica outside the replica set as a join request. A replica that was removed
// while it was cut off still is a voter by its own log, so it campaigns in vain and would never request to join.
func (r *Replica) handleNonMember(from *wire.Member) {
	if !r.isMember(idOf(from)) {
		r.handleJoin(&wire.Message{From: from})
	}
}

// reconcileMembers makes at most one membership change at a time. A new disk joins as a learner, and gets a vote only
// when it durably holds everything committed: a disk that voted while empty could elect a leader that lacks an
// acknowledged change.
func (r *Replica) reconcileMembers(now time.Time) {
	if r.commit < r.termStart || r.log.configIndex() > r.commit {
		return
	}
	if r.promote(now) || r.admit(now) {
		return
	}
	r.removeSilentLearner(now)
}

// promote gives a vote to a learner that has caught up, if there are fewer than MaxVoters voters. It first removes the
// member that the learner replaces, if any. It reports whether it changed the replica set.
func (r *Replica) promote(now time.Time) bool {
	for _, m := range r.log.config().GetMembers() {
		match, recent := r.Match(now, m)
		if m.GetVoter() || !recent || match < r.commit {
			continue
		}
		if r.removeReplaced(now, m) {
			return true
		}
		if len(r.voters()) >= r.MaxVoters {
			continue
		}
		config := cloneConfig(r.log.config())
		for _, c := range config.GetMembers() {
			if idOf(c) == idOf(m) {
				c.Voter = true
			}
		}
		r.changeConfig(now, config)
		return true
	}
	return false
}

// removeReplaced removes the former disk of a learner's replica name or, if there are MaxVoters voters, a voter that
// has been silent for Timing.ReplaceAfter. A group that waits for an instance that never returns survives one loss
// less.
func (r *Replica) removeReplaced(now time.Time, learner *wire.Member) bool {
	config := cloneConfig(r.log.config())
	at := predecessor(config, learner)
	if at < 0 && len(r.voters()) >= r.MaxVoters {
		at = slices.IndexFunc(config.GetMembers(), func(m *wire.Member) bool { return m.GetVoter() && r.silent(now, m) })
	}
	if at < 0 {
		return false
	}
	config.Members = slices.Delete(config.Members, at, at+1)
	r.changeConfig(now, config)
	return true
}

// predecessor returns the index of another disk of the same replica name, or -1.
func predecessor(c *wire.Config, m *wire.Member) int {
	return slices.IndexFunc(c.GetMembers(), func(o *wire.Member) bool {
		return o.GetName() == m.GetName() && o.GetIncarnation() != m.GetIncarnation()
	})
}

// removeSilentLearner removes a learner that has stopped answering; it joins again when it is back.
func (r *Replica) removeSilentLearner(now time.Time) {
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

// admit adds the first waiting replica that may join as a learner, and reports whether there was one.
func (r *Replica) admit(now time.Time) bool {
	for _, k := range sortedIDs(r.joiners) {
		j := r.joiners[k]
		delete(r.joiners, k)
		if r.isMember(k) || !r.mayJoin(now, j) || len(r.log.config().GetMembers()) >= maxMembers {
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

func sortedIDs(joiners map[memberID]*wire.Member) []memberID {
	return slices.SortedFunc(maps.Keys(joiners), func(a, b memberID) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.incarnation, b.incarnation))
	})
}

func (r *Replica) isMember(k memberID) bool {
	return slices.ContainsFunc(r.log.config().GetMembers(), func(m *wire.Member) bool { return idOf(m) == k })
}

// mayJoin reports whether a new replica may join. It may not while another disk of its name still answers: two
// processes started under one name by mistake must not replace each other in turn. Two processes can't serve one address,
// so there the new replica shows that the other disk is gone. If it had to be silent for Timing.ReplaceAfter, counted
// anew by each leader, several disks lost in turn would keep their votes at the same time.
func (r *Replica) mayJoin(now time.Time, j *wire.Member) bool {
	at := predecessor(r.log.config(), j)
	if at < 0 {
		return true
	}
	former := r.log.config().GetMembers()[at]
	if _, answers := r.Match(now, former); answers {
		return false
	}
	return former.GetAddress() == j.GetAddress() || r.silent(now, former)
}

// silent reports whether a member has not answered this leader for Timing.ReplaceAfter, counted at the earliest from
// when the leader began to send to it.
func (r *Replica) silent(now time.Time, m *wire.Member) bool {
	p, ok := r.peers[idOf(m)]
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

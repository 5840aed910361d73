package replicator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// askToJoin announces a replica without a seat; the caller sends the message to every other controller.
func (r *Replica) askToJoin() {
	r.outbox = append(r.outbox, &wire.Message{
		Kind:  wire.MessageKind_MESSAGE_JOIN,
		Group: r.Group,
		From:  r.Self,
	})
}

func (r *Replica) handleJoin(m *wire.Message) {
	if r.role != Leader {
		return
	}
	if !slices.Contains(r.Names, m.GetFrom().GetName()) {
		return
	}
	r.joiners[keyOf(m.GetFrom())] = m.GetFrom()
}

// arrangeMembers makes at most one membership change at a time: a new disk is first a replica without
// a vote, and gets the vote only when it durably holds everything committed. A disk that voted while
// empty could elect a leader that lacks an acknowledged change.
func (r *Replica) arrangeMembers(now time.Time) {
	if r.commit < r.termStart || r.log.configIndex() > r.commit {
		return
	}
	if r.promote(now) {
		return
	}
	r.admit(now)
}

// promote gives a vote to a replica that has caught up, after its lost predecessor gave up its seat.
func (r *Replica) promote(now time.Time) bool {
	for _, m := range r.log.config().GetMembers() {
		match, recent := r.Match(now, m)
		if m.GetVoter() || !recent || match < r.commit {
			continue
		}
		config := cloneConfig(r.log.config())
		if old := predecessor(config, m); old >= 0 {
			config.Members = slices.Delete(config.Members, old, old+1)
			r.changeConfig(now, config)
			return true
		}
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

// predecessor finds another disk of the same replica name.
func predecessor(c *wire.Config, m *wire.Member) int {
	return slices.IndexFunc(c.GetMembers(), func(o *wire.Member) bool {
		return o.GetName() == m.GetName() && o.GetIncarnation() != m.GetIncarnation()
	})
}

func (r *Replica) admit(now time.Time) {
	for _, k := range sortedKeys(r.joiners) {
		j := r.joiners[k]
		delete(r.joiners, k)
		if r.member(k) || !r.seatFree(now, j) {
			continue
		}
		config := cloneConfig(r.log.config())
		learner := proto.CloneOf(j)
		learner.Voter = false
		config.Members = append(config.Members, learner)
		r.changeConfig(now, config)
		return
	}
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
	old := r.log.config().GetMembers()[at]
	if keyOf(old) == keyOf(r.Self) {
		return false
	}
	p := r.peers[keyOf(old)]
	silent := now.Sub(p.confirmed) > r.Timing.Replace
	return silent && now.Sub(r.leadSince) > r.Timing.Replace
}

func (r *Replica) changeConfig(now time.Time, c *wire.Config) {
	data, err := proto.Marshal(c)
	if err != nil {
		return
	}
	r.appendOwn(wire.EntryKind_ENTRY_CONFIG, data)
	r.syncPeers()
	r.Flush(now)
}

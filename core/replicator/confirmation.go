package replicator

import (
	"time"

	"chervilrail.example/core/wire"
)

// confirmation dates the committed state of a follower. A replica that reaches most others may still lack what was
// committed: they may not have elected a leader yet, or this replica may miss only the leader's messages. A message of a
// leader with a valid lease proves that the follower holds all that was committed when the leader built the message, but
// the message may have been on its way for long. So the leader names the newest round that this replica has answered,
// and the state is dated by when that answer was sent. It also names the run of this replica that answered: after a restart
// messages of that round may still arrive and be answered once more, later than the leader built its message.
type confirmation struct {
	term uint64
	// answered holds when this replica answered the recent rounds of the term's leader, each for the first time.
	answered map[uint64]time.Time
	// newest is the newest round in answered. Earlier ones are not added: the leader may have had their answers before.
	newest uint64
	at     time.Time
}

// ConfirmedAt returns the newest time for which this replica's committed state is known to have been the newest of the
// whole group, or zero. The state up to Committed must be applied before it is used with this time.
func (r *Replica) ConfirmedAt() time.Time { return r.confirmation.at }

// note records that a message of the leader is about to be answered, whether it is accepted or rejected.
func (c *confirmation) note(now time.Time, m *wire.Message) {
	if c.term != m.GetTerm() {
		c.term, c.newest, c.answered = m.GetTerm(), 0, map[uint64]time.Time{}
	}
	if m.GetRound() > c.newest {
		c.newest = m.GetRound()
		c.answered[c.newest] = now
	}
}

// confirm processes a leader's append after its entries and commit index were accepted.
func (r *Replica) confirm(m *wire.Message) {
	if m.GetRun() != r.Run {
		return
	}
	c := &r.confirmation
	at, ok := c.answered[m.GetAnswered()]
	if !ok || r.commit < m.GetCommit() {
		return
	}
	if at.After(c.at) {
		c.at = at
	}
	c.forget(m.GetAnswered())
}

// forget removes the rounds before the given one.
func (c *confirmation) forget(round uint64) {
	for k := range c.answered {
		if k < round {
			delete(c.answered, k)
		}
	}
}

// answeredBy returns the newest round that a replica has answered, and the run that did, or 0 while this leader's lease is
// not valid.
func (r *Replica) answeredBy(now time.Time, p *progress) (round, run uint64) {
	if !r.LeaseDeadline(now).After(now) {
		return 0, 0
	}
	return p.answered, p.run
}

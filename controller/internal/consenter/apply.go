package consenter

import (
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/granter"
	"chervilrail.example/core/replicator"
	"chervilrail.example/core/wire"
)

func (c *Consenter) apply(e *wire.Entry) {
	c.committed = e.GetIndex()
	c.quotas.applied = e.GetTerm()
	var result *wire.Result
	if e.GetKind() == wire.EntryKind_ENTRY_COMMAND {
		command := &wire.Command{}
		if err := proto.Unmarshal(e.GetData(), command); err == nil {
			result = c.state.Apply(command)
			c.logChange(command, result)
			c.noteRouting(command, result)
			c.noteQuotas(time.Now(), e.GetTerm(), command, result)
		}
	}
	p, ok := c.waiting[e.GetIndex()]
	if !ok {
		return
	}
	delete(c.waiting, e.GetIndex())
	if p.term != e.GetTerm() {
		p.reply <- answer{err: &ProposalReplacedError{}}
		return
	}
	p.reply <- answer{result: result}
}

func (c *Consenter) logChange(command *wire.Command, result *wire.Result) {
	change := command.GetChange()
	if change == nil {
		return
	}
	v := result.GetVerdict()
	_ = level.Info(c.Logger).Log("msg", "change decided", "id", change.GetId(), "number", change.GetNumber(),
		"accepted", v.GetAccepted(), "inforce", v.GetNumber(), "winner", v.GetWinner(), "reason", v.GetReason())
}

// noticeRole acts on a change of leadership. A deposed leader can't know whether its proposals commit,
// so whoever waits is told that the outcome is unknown, and asks again under the same id.
func (c *Consenter) noticeRole(now time.Time) {
	role := c.replica.Role()
	if role == c.lastRole {
		return
	}
	c.lastRole = role
	_ = level.Info(c.Logger).Log("msg", "role", "role", role, "term", c.replica.Term(),
		"leader", c.replica.LeaderMember().GetName())
	if role == replicator.Leader {
		c.grants = granter.Granter{Lease: c.Lease, ElectedAt: now}
		c.grants.SetLimits(c.limits)
		c.roster.reset(now)
		c.quotas.lead(c, now)
		return
	}
	c.quotas.allotter = nil
	c.abandon()
}

func (c *Consenter) abandon() {
	for index, p := range c.waiting {
		delete(c.waiting, index)
		p.reply <- answer{err: &OutcomeUnknownError{}}
	}
}

func (c *Consenter) noticeCatalogue() {
	if c.state.Number() == c.number {
		return
	}
	c.number = c.state.Number()
	parsed, err := cataloguer.Parse("catalogue", c.state.Catalogue())
	if err != nil {
		_ = level.Error(c.Logger).Log("msg", "catalogue in force can't be read", "number", c.number, "err", err)
		return
	}
	c.limits = parsed.Limits()
	c.grants.SetLimits(c.limits)
}

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

// apply applies a committed entry to the state, and answers the caller that waits for its result, if any.
func (c *Consenter) apply(e *wire.Entry) {
	c.committed = e.GetIndex()
	c.quotas.applied = e.GetTerm()
	var result *wire.Result
	if e.GetKind() == wire.EntryKind_ENTRY_COMMAND {
		command := &wire.Command{}
		if err := proto.Unmarshal(e.GetData(), command); err == nil {
			result = c.state.Apply(command)
			c.logChange(command, result)
			c.recordRouting(command, result)
			c.handleQuotaCommand(time.Now(), e.GetTerm(), command, result)
		}
	}
	proposal, ok := c.proposals[e.GetIndex()]
	if !ok {
		return
	}
	delete(c.proposals, e.GetIndex())
	if proposal.term != e.GetTerm() {
		proposal.reply <- answer{err: &ProposalReplacedError{}}
		return
	}
	proposal.reply <- answer{result: result}
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

// handleRoleChange acts on a change of leadership. A deposed leader cannot know whether its proposals commit, so their
// callers get an OutcomeUnknownError and retry under the same id.
func (c *Consenter) handleRoleChange(now time.Time) {
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
		c.quotas.start(c, now)
		return
	}
	c.quotas.allotter = nil
	c.failProposals()
}

// failProposals answers all waiting callers with an OutcomeUnknownError.
func (c *Consenter) failProposals() {
	for index, p := range c.proposals {
		delete(c.proposals, index)
		p.reply <- answer{err: &OutcomeUnknownError{}}
	}
}

// updateLimits reads the limits from the catalogue in force if it has changed.
func (c *Consenter) updateLimits() {
	if c.state.CatalogueNumber() == c.catalogueNumber {
		return
	}
	c.catalogueNumber = c.state.CatalogueNumber()
	parsed, err := cataloguer.Parse("catalogue", c.state.Catalogue())
	if err != nil {
		_ = level.Error(c.Logger).Log("msg", "failed to parse catalogue in force",
			"number", c.catalogueNumber, "err", err)
		return
	}
	c.limits = parsed.Limits()
	c.grants.SetLimits(c.limits)
}

package consenter

import (
	"slices"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/planner"
	"chervilrail.example/core/wire"
)

// Routing is the replicated routing state as this controller has applied it. It is immutable.
type Routing struct {
	// Revision is the log index that last changed the state; it orders the states of all controllers.
	Revision uint64
	Plan     *wire.Plan
	// PlanWithoutKeys is the plan without the organisations' keys.
	PlanWithoutKeys *wire.Plan
	Evacuated       []string
	// Members are the controllers, Leader is the name of the leading one, or empty.
	Members []*wire.Member
	Leader  string
}

// Voters returns the names of the controllers that vote.
func (r *Routing) Voters() []string {
	var out []string
	for _, m := range r.Members {
		if m.GetVoter() {
			out = append(out, m.GetName())
		}
	}
	return out
}

// LeaderAddress returns the address at which the leader accepts calls of other controllers, or "".
func (r *Routing) LeaderAddress() string {
	for _, m := range r.Members {
		if m.GetName() == r.Leader {
			return m.GetAddress()
		}
	}
	return ""
}

// Routing returns the newest routing state; it is never nil.
func (c *Consenter) Routing() *Routing {
	if r := c.routing.Load(); r != nil {
		return r
	}
	return &Routing{}
}

// recordRouting logs a change of the routing state and records its log index as the revision.
func (c *Consenter) recordRouting(command *wire.Command, result *wire.Result) {
	switch {
	case command.GetPlan() != nil:
		v := result.GetPlan()
		_ = level.Info(c.Logger).Log("msg", "plan decided", "version", command.GetPlan().GetVersion(),
			"base", command.GetPlan().GetBase(), "outcome", v.GetOutcome(), "inforce", v.GetVersion(), "reason", v.GetReason())
	case command.GetEvacuation() != nil:
		_ = level.Info(c.Logger).Log("msg", "evacuation", "zone", command.GetEvacuation().GetZone(),
			"on", command.GetEvacuation().GetOn())
	default:
		return
	}
	c.revision = c.committed
}

// publishRouting makes a changed routing state visible to other goroutines and calls OnRoutingChange. After a recovery in
// this run, the plan that was visible before stays until the log has caught up with it.
func (c *Consenter) publishRouting() {
	next := &Routing{
		Revision:  c.revision,
		Plan:      c.state.Plan(),
		Evacuated: c.state.EvacuatedZones(),
		Members:   c.replica.Members(),
		Leader:    c.replica.LeaderMember().GetName(),
	}
	old := c.routing.Load()
	if old != nil && next.Revision < old.Revision {
		next.Revision, next.Plan, next.Evacuated = old.Revision, old.Plan, old.Evacuated
	}
	if old != nil && old.Revision == next.Revision && old.Leader == next.Leader && slices.Equal(old.Members, next.Members) {
		return
	}
	next.PlanWithoutKeys = withoutKeys(old, next.Plan)
	c.routing.Store(next)
	if c.OnRoutingChange != nil {
		c.OnRoutingChange()
	}
}

// withoutKeys returns a plan without the organisations' keys. It reuses the previous one if the plan is the same.
func withoutKeys(old *Routing, plan *wire.Plan) *wire.Plan {
	if old != nil && old.Plan == plan {
		return old.PlanWithoutKeys
	}
	if plan == nil {
		return nil
	}
	return planner.HashKeys(plan)
}

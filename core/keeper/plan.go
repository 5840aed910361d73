package keeper

import (
	"chervilrail.example/core/planner"
	"chervilrail.example/core/wire"
)

// Plan returns the routing plan in force, or nil before the first.
func (k *Keeper) Plan() *wire.Plan { return k.plan }

// EvacuatedZones returns the availability zones whose targets get no requests, sorted.
func (k *Keeper) EvacuatedZones() []string { return k.evacuated }

// changePlan accepts a change on top of the version in force. One that was accepted before is acknowledged
// again, however long ago: its sender lost the answer, and a refusal would tell it that the change is not in force.
func (k *Keeper) changePlan(c *wire.PlanChange) *wire.PlanVerdict {
	current := k.plan.GetVersion()
	if k.digests[string(c.GetDigest())] {
		return &wire.PlanVerdict{Outcome: wire.PlanOutcome_PLAN_ACCEPTED, Version: current}
	}
	if c.GetVersion() <= current {
		return &wire.PlanVerdict{
			Outcome: wire.PlanOutcome_PLAN_INVALID, Version: current, Reason: "the version is not above the one in force",
		}
	}
	if c.GetBase() != current {
		return &wire.PlanVerdict{
			Outcome: wire.PlanOutcome_PLAN_CONFLICT, Version: current, Reason: "another version is in force",
		}
	}
	next := planner.Apply(k.plan, c)
	if err := planner.Check(next); err != nil {
		return &wire.PlanVerdict{Outcome: wire.PlanOutcome_PLAN_INVALID, Version: current, Reason: err.Error()}
	}
	k.plan = next
	k.rememberDigest(c.GetDigest())
	return &wire.PlanVerdict{Outcome: wire.PlanOutcome_PLAN_ACCEPTED, Version: next.GetVersion()}
}

func (k *Keeper) rememberDigest(digest []byte) {
	if k.digests == nil {
		k.digests = map[string]bool{}
	}
	k.digests[string(digest)] = true
	k.digestOrder = append(k.digestOrder, digest)
}

func (k *Keeper) evacuate(e *wire.Evacuation) {
	k.evacuated, _ = switched(k.evacuated, e.GetZone(), e.GetOn())
}

func (k *Keeper) restorePlan(s *wire.State) {
	k.plan = s.GetPlan()
	k.evacuated = s.GetEvacuated()
	k.digests = nil
	k.digestOrder = nil
	for _, d := range s.GetDigests() {
		k.rememberDigest(d)
	}
}

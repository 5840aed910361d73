package keeper

import (
	"chervilrail.example/core/planner"
	"chervilrail.example/core/wire"
)

// Plan returns the routing plan in force, or nil if none has been accepted yet.
func (k *Keeper) Plan() *wire.Plan { return k.plan }

// EvacuatedZones returns the availability zones whose targets get no requests, sorted by name.
func (k *Keeper) EvacuatedZones() []string { return k.evacuatedZones }

// changePlan accepts a valid change that is based on the version in force. A resend of an accepted change is
// acknowledged again, however long ago it was accepted: its sender did not get the answer, and would take a refusal to
// mean that the change was never in force.
func (k *Keeper) changePlan(c *wire.PlanChange) *wire.PlanVerdict {
	if verdict := k.AcceptedBefore(c); verdict != nil {
		return verdict
	}
	current := k.plan.GetVersion()
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
	k.recordDigest(c.GetDigest())
	return &wire.PlanVerdict{Outcome: wire.PlanOutcome_PLAN_ACCEPTED, Version: next.GetVersion()}
}

// AcceptedBefore returns the verdict on the resend of an accepted change, or nil for any other change.
func (k *Keeper) AcceptedBefore(c *wire.PlanChange) *wire.PlanVerdict {
	if c == nil || !k.digests[string(c.GetDigest())] {
		return nil
	}
	return &wire.PlanVerdict{Outcome: wire.PlanOutcome_PLAN_ACCEPTED, Version: k.plan.GetVersion()}
}

func (k *Keeper) recordDigest(digest []byte) {
	if k.digests == nil {
		k.digests = map[string]bool{}
	}
	k.digests[string(digest)] = true
	k.digestOrder = append(k.digestOrder, digest)
}

func (k *Keeper) evacuate(e *wire.Evacuation) {
	k.evacuatedZones, _ = setMember(k.evacuatedZones, e.GetZone(), e.GetOn())
}

func (k *Keeper) restorePlan(s *wire.State) {
	k.plan = s.GetPlan()
	k.evacuatedZones = s.GetEvacuated()
	k.digests = nil
	k.digestOrder = nil
	for _, d := range s.GetDigests() {
		k.recordDigest(d)
	}
}

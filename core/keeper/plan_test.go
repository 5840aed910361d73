package keeper

import (
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

func put(digest string, base, version uint64) *wire.Command {
	return &wire.Command{Plan: &wire.PlanChange{
		Digest: []byte(digest), Base: base, Version: version,
		Plan: &wire.Plan{
			Routes:   []*wire.Route{{Name: "a", Prefix: "/a/", Splits: []*wire.Split{{Service: "s", Weight: 1}}}},
			Services: []*wire.Service{{Name: "s"}},
		},
	}}
}

func outcome(k *Keeper, c *wire.Command) wire.PlanOutcome { return k.Apply(c).GetPlan().GetOutcome() }

// Two operators send changes based on the same version. If both were accepted, one change would be lost without its
// sender being informed.
func TestOneOfTwoChangesOnTheSameBaseIsAccepted(t *testing.T) {
	is := is.New(t)
	k := &Keeper{}
	is.Equal(outcome(k, put("one", 0, 3)), wire.PlanOutcome_PLAN_ACCEPTED)
	is.Equal(outcome(k, put("two", 3, 5)), wire.PlanOutcome_PLAN_ACCEPTED)
	is.Equal(outcome(k, put("three", 3, 6)), wire.PlanOutcome_PLAN_CONFLICT)
	is.Equal(outcome(k, put("four", 3, 5)), wire.PlanOutcome_PLAN_INVALID)
	is.Equal(k.Plan().GetVersion(), uint64(5))
}

// The answer to an accepted change is lost, and its sender resends it after others have changed the plan, the
// controllers have restarted from a snapshot, or both. A refusal would mean to the sender that its change was never in
// force.
func TestAcceptedChangesAreAcknowledgedForEver(t *testing.T) {
	is := is.New(t)
	k := &Keeper{}
	first := put("first", 0, 1)
	is.Equal(outcome(k, first), wire.PlanOutcome_PLAN_ACCEPTED)
	for v := uint64(2); v < 600; v++ {
		is.Equal(outcome(k, put(string(rune(v)), v-1, v)), wire.PlanOutcome_PLAN_ACCEPTED)
	}
	data, err := k.Snapshot()
	is.NoErr(err)
	restored := &Keeper{}
	is.NoErr(restored.Restore(data))
	is.Equal(outcome(restored, first), wire.PlanOutcome_PLAN_ACCEPTED)
	is.Equal(restored.Plan().GetVersion(), uint64(599))
}

func TestRefusedChangesHaveNoEffect(t *testing.T) {
	is := is.New(t)
	k := &Keeper{}
	bad := put("bad", 0, 1)
	bad.Plan.Plan.Services = nil
	is.Equal(outcome(k, bad), wire.PlanOutcome_PLAN_INVALID)
	is.Equal(k.Plan(), nil)
	is.Equal(outcome(k, bad), wire.PlanOutcome_PLAN_INVALID) // a resend is refused again
	is.Equal(outcome(k, put("good", 0, 1)), wire.PlanOutcome_PLAN_ACCEPTED)
}

func TestEvacuationsSurviveASnapshot(t *testing.T) {
	is := is.New(t)
	k := &Keeper{}
	for _, e := range []*wire.Evacuation{
		{Zone: "b", On: true}, {Zone: "a", On: true}, {Zone: "b", On: true}, {Zone: "c"},
	} {
		k.Apply(&wire.Command{Evacuation: e})
	}
	is.Equal(k.EvacuatedZones(), []string{"a", "b"})
	data, err := k.Snapshot()
	is.NoErr(err)
	restored := &Keeper{}
	is.NoErr(restored.Restore(data))
	is.Equal(restored.EvacuatedZones(), []string{"a", "b"})
	restored.Apply(&wire.Command{Evacuation: &wire.Evacuation{Zone: "a"}})
	is.Equal(restored.EvacuatedZones(), []string{"b"})
	is.Equal(k.EvacuatedZones(), []string{"a", "b"})
}

func TestReadsReturnThePlanInForce(t *testing.T) {
	is := is.New(t)
	k := &Keeper{}
	is.Equal(k.Apply(&wire.Command{Read: true}).GetCurrent(), nil)
	k.Apply(put("one", 0, 3))
	is.Equal(k.Apply(&wire.Command{Read: true}).GetCurrent().GetVersion(), uint64(3))
}

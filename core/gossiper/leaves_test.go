package gossiper

import (
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// Guards against a target that has said in an answer that it leaves and goes on getting requests of the instances that
// were not told, while it announces itself as before; and against one that gets none after it has started again.
func TestReportedLeaveReachesAllControllers(t *testing.T) {
	is := is.New(t)
	r := newCluster(3)
	ready := func(incarnation, sequence uint64) *wire.Record {
		return &wire.Record{Name: "t1", Incarnation: incarnation, Sequence: sequence, State: wire.TargetState_TARGET_READY}
	}
	states := func(want wire.TargetState) {
		t.Helper()
		for _, g := range r.controllers {
			record, _ := g.Target("t1")
			is.Equal(record.GetState(), want)
		}
	}
	r.controllers[0].Announce(r.now, ready(1, 1))
	r.exchangeAll(Period)
	is.True(!r.controllers[1].ReportLeave(r.now, "t1", 9)) // another incarnation
	is.True(!r.controllers[1].ReportLeave(r.now, "t2", 1))
	is.True(r.controllers[1].ReportLeave(r.now, "t1", 1))
	is.True(!r.controllers[1].ReportLeave(r.now, "t1", 1))
	r.exchangeAll(Period)
	states(wire.TargetState_TARGET_LEAVING)
	r.controllers[0].Announce(r.now, ready(1, 2))
	r.exchangeAll(Period)
	states(wire.TargetState_TARGET_LEAVING)
	r.controllers[0].Announce(r.now, ready(2, 1))
	r.exchangeAll(Period)
	states(wire.TargetState_TARGET_READY)
	is.True(!r.controllers[1].ReportLeave(r.now, "t1", 1)) // an answer that was under way
}

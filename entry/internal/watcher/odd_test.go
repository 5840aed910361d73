package watcher

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// Guards against instances that end or stop following the targets, because an odd entry is among those that a controller
// sends.
func TestOddRecordsStopNoOthers(t *testing.T) {
	is := is.New(t)
	c, address := startController(t, answer(1, 3, true, target(1, wire.TargetState_TARGET_READY)))
	w := startWatcher(t, address)
	waitFor(t, func() bool { return version(w) == 3 })
	revision := uint64(1)
	for name, change := range map[string]func(r *wire.Record){
		"no address":  func(r *wire.Record) { r.Address = "" },
		"port 65536":  func(r *wire.Record) { r.Address = "10.0.0.2:65536" },
		"port 0":      func(r *wire.Record) { r.Address = "10.0.0.2:0" },
		"zone":        func(r *wire.Record) { r.Address = "[fe80::1%x]:80" },
		"host name":   func(r *wire.Record) { r.Address = "h.example:80" },
		"no service":  func(r *wire.Record) { r.Service = "" },
		"no name":     func(r *wire.Record) { r.Name = "" },
		"least slots": func(r *wire.Record) { r.Slots = math.MinInt32 },
		"most slots":  func(r *wire.Record) { r.Slots = math.MaxInt32 },
		"no slots":    func(r *wire.Record) { r.Slots = 0 },
		"state":       func(r *wire.Record) { r.State = 77 },
		"cold":        func(r *wire.Record) { r.Cold = math.MaxInt64 },
		"cold, least": func(r *wire.Record) { r.Cold = math.MinInt64 },
		"highest": func(r *wire.Record) {
			r.Incarnation, r.Sequence, r.Overrides = math.MaxUint64, math.MaxUint64, math.MaxUint64
		},
		"no number":    func(r *wire.Record) { r.Incarnation, r.Sequence = 0, 0 },
		"empty record": func(r *wire.Record) { r.Reset() },
	} {
		t.Run(name, func(t *testing.T) {
			odd := target(1, wire.TargetState_TARGET_READY)
			odd.Name, odd.Address = "odd"+name, "10.0.0.2:80"
			change(odd)
			revision++
			sound := target(revision, wire.TargetState_TARGET_READY)
			sound.Slots = int32(revision)
			c.setAnswer(answer(revision, 3, true, odd, sound))
			waitFor(t, func() bool {
				for _, spec := range w.View().Targets["listings"] {
					if spec.Name == "t1" && spec.Slots == int32(revision) {
						return true
					}
				}
				return false
			})
		})
	}
	is.Equal(version(w), uint64(3))
}

package directory

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
)

// Guards against instances that end or stop following the targets, because an odd entry is announced, or passed on by
// another instance.
func TestOddRecordsStopNoOthers(t *testing.T) {
	is := is.New(t)
	d := startDirectory(t, &fakeController{number: 1, group: 1})
	waitFor(t, func() bool { return d.View() != nil })
	sound := func(sequence uint64) *wire.Record {
		return &wire.Record{
			Name: "sound", Incarnation: 1, Sequence: sequence, Service: "listings", Address: "10.0.0.1:80",
			Region: "almaty", Zone: "almaty-a", Slots: 3, State: wire.TargetState_TARGET_READY,
		}
	}
	for i, address := range []string{"", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999", "h.example:80", "[fe80::1%x]:80"} {
		odd := sound(9)
		odd.Name, odd.Address, odd.Incarnation = "odd", address, 2
		var refused *registrar.AnnouncementError
		is.True(errors.As(d.Announce(t.Context(), odd), &refused))
		is.NoErr(d.Merge(t.Context(), []*wire.Record{odd, {}, {Name: "odd", Slots: -1, Cold: 1 << 62}, sound(uint64(2*i + 1))}))
		is.NoErr(d.Announce(t.Context(), sound(uint64(2*i+2))))
		records, err := d.Records(t.Context())
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(records[0].GetSequence(), uint64(2*i+2))
	}
	waitFor(t, func() bool {
		count := 0
		for _, tier := range d.View().Pools["listings"].Tiers {
			count += len(tier.Targets)
		}
		return count == 1
	})
	is.True(d.Confirmed(time.Now()))
}

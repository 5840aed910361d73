package registrar

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/wire"
)

const catalogueText = `
[region almaty]
zones = almaty-a
cap = 100
floor = 1

[service listings]
regions = almaty
`

func record(incarnation, sequence uint64, state wire.TargetState) *wire.Record {
	return &wire.Record{
		Name: "u1", Incarnation: incarnation, Sequence: sequence, Service: "listings",
		Address: "127.0.0.1:9000", Region: "almaty", Zone: "almaty-a", Slots: 3, State: state,
	}
}

const (
	ready   = wire.TargetState_TARGET_READY
	leaving = wire.TargetState_TARGET_LEAVING
)

func assertLive(t *testing.T, g *Registrar, now time.Time, want int) {
	t.Helper()
	is.New(t).Equal(len(g.Ready(now, "listings")), want)
}

// A target says that it leaves, and an older announcement arrives after that, or one sent by a part of
// it that does not know yet. Sent new work, it would cut it off when it exits.
func TestLeavingIsFinal(t *testing.T) {
	now := time.Unix(1000, 0)
	var g Registrar
	g.Merge(now, record(5, 1, ready))
	assertLive(t, &g, now, 1)
	g.Merge(now, record(5, 3, leaving))
	assertLive(t, &g, now, 0)
	t.Run("late", func(t *testing.T) {
		g.Merge(now, record(5, 2, ready))
		assertLive(t, &g, now, 0)
	})
	t.Run("newer of the same run", func(t *testing.T) {
		g.Merge(now, record(5, 4, ready))
		assertLive(t, &g, now, 0)
	})
	t.Run("older run", func(t *testing.T) {
		g.Merge(now, record(4, 9, ready))
		assertLive(t, &g, now, 0)
	})
	t.Run("new run", func(t *testing.T) {
		g.Merge(now, record(6, 1, ready))
		assertLive(t, &g, now, 1)
	})
}

func TestSilenceEndsTheLease(t *testing.T) {
	now := time.Unix(1000, 0)
	var g Registrar
	g.Merge(now, record(5, 1, ready))
	assertLive(t, &g, now.Add(Lease-1), 1)
	assertLive(t, &g, now.Add(Lease), 0)
	g.Merge(now.Add(Lease), record(5, 1, ready)) // a repeat of what is known is no sign of life
	assertLive(t, &g, now.Add(Lease), 0)
}

// Entry instances hear of announcements in different orders, some doubled. They must still agree on which
// targets are ready, or one of them goes on sending work to a target that leaves.
func TestOrderDoesNotMatter(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 4))
		var sent []*wire.Record
		left := false
		for sequence := range uint64(6) {
			state := ready
			if left || random.IntN(4) == 0 {
				state, left = leaving, true
			}
			sent = append(sent, record(1+uint64(random.IntN(2)), sequence+1, state))
		}
		var first, second Registrar
		for _, i := range random.Perm(len(sent)) {
			first.Merge(now, clone(sent[i]))
		}
		for _, i := range append(random.Perm(len(sent)), random.Perm(len(sent))...) {
			second.Merge(now, clone(sent[i]))
		}
		is.Equal(len(first.Ready(now, "listings")) > 0 && newestLeft(sent), false)
		is.Equal(len(second.Ready(now, "listings")) > 0 && newestLeft(sent), false)
	}
}

func clone(r *wire.Record) *wire.Record {
	return record(r.GetIncarnation(), r.GetSequence(), r.GetState())
}

// newestLeft reports whether the newest run's last word was that it leaves.
func newestLeft(sent []*wire.Record) bool {
	newest := sent[0]
	for _, r := range sent {
		if newer(newest, r) {
			newest = r
		}
	}
	return newest.GetState() == leaving
}

func TestCheck(t *testing.T) {
	c, err := cataloguer.Parse("test", []byte(catalogueText))
	is.New(t).NoErr(err)
	cases := []struct {
		field  string
		change func(r *wire.Record)
	}{
		{"name", func(r *wire.Record) { r.Name = "" }},
		{"incarnation", func(r *wire.Record) { r.Incarnation = 0 }},
		{"slots", func(r *wire.Record) { r.Slots = 0 }},
		{"load", func(r *wire.Record) { r.Load = -1 }},
		{"address", func(r *wire.Record) { r.Address = "localhost" }},
		{"service", func(r *wire.Record) { r.Service = "other" }},
		{"region", func(r *wire.Record) { r.Region = "elsewhere" }},
		{"zone", func(r *wire.Record) { r.Zone = "elsewhere-a" }},
	}
	for _, c2 := range cases {
		t.Run(c2.field, func(t *testing.T) {
			is := is.New(t)
			r := record(1, 1, ready)
			is.NoErr(Check(c, r))
			c2.change(r)
			var refused *AnnouncementError
			is.True(errors.As(Check(c, r), &refused))
			is.Equal(refused.Field, c2.field)
		})
	}
}

func placed(name string, incarnation, sequence uint64, address string, state wire.TargetState) *wire.Record {
	return &wire.Record{
		Name: name, Incarnation: incarnation, Sequence: sequence, Address: address, Service: "listings", Slots: 1, State: state,
	}
}

// A target crashes, and its address goes to a target of another service. A heartbeat of the dead one was held up on its
// way and arrives now. Taken, requests of its service would be sent to the new one.
func TestAddressBelongsToWhoStartedLast(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var g Registrar
	is.True(g.Merge(now, placed("old", 10, 1, "10.0.0.1:80", wire.TargetState_TARGET_READY)))
	is.True(g.Merge(now, placed("new", 20, 1, "10.0.0.1:80", wire.TargetState_TARGET_READY)))
	is.True(!g.Merge(now, placed("old", 10, 2, "10.0.0.1:80", wire.TargetState_TARGET_READY)))
	old, _ := g.Get("old")
	is.Equal(old.GetState(), wire.TargetState_TARGET_GONE)
	is.Equal(len(g.Ready(now, "listings")), 1)
	is.True(g.Merge(now, placed("old", 30, 1, "10.0.0.2:80", wire.TargetState_TARGET_READY)))
	is.Equal(len(g.Ready(now, "listings")), 2)
}

// A target leaves without having said so before, and its last heartbeat arrives after that.
func TestGoneIsFinalForAnIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var g Registrar
	is.True(g.Merge(now, placed("u", 10, 4, "10.0.0.1:80", wire.TargetState_TARGET_READY)))
	is.True(g.Merge(now, placed("u", 10, 4, "10.0.0.1:80", wire.TargetState_TARGET_GONE)))
	g.Merge(now, placed("u", 10, 5, "10.0.0.1:80", wire.TargetState_TARGET_READY))
	got, _ := g.Get("u")
	is.Equal(got.GetState(), wire.TargetState_TARGET_GONE)
	is.True(g.Merge(now, placed("u", 11, 1, "10.0.0.1:80", wire.TargetState_TARGET_READY)))
	is.Equal(len(g.Ready(now, "listings")), 1)
}

// A target's last heartbeat reached only controllers that are cut off, and some instances learnt it from them. It
// leaves by a controller that knows an earlier one. Ordered by sequence alone, those instances would take the leaving
// for older than what they know, and go on sending requests.
func TestLeavingOutranksLaterHeartbeats(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for _, state := range []wire.TargetState{wire.TargetState_TARGET_LEAVING, wire.TargetState_TARGET_GONE} {
		var g Registrar
		is.True(g.Merge(now, placed("u", 10, 9, "10.0.0.1:80", wire.TargetState_TARGET_READY)))
		is.True(g.Merge(now, placed("u", 10, 8, "10.0.0.1:80", state)))
		is.Equal(len(g.Ready(now, "listings")), 0)
		g.Merge(now, placed("u", 10, 12, "10.0.0.1:80", wire.TargetState_TARGET_READY))
		is.Equal(len(g.Ready(now, "listings")), 0)
	}
}

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

func assertReadyCount(t *testing.T, g *Registrar, now time.Time, want int) {
	t.Helper()
	is.New(t).Equal(len(g.Ready(now, "listings")), want)
}

// A target announces that it is leaving. After that, an older announcement arrives, or one from a part of the target
// that is not yet aware of it. If requests were sent to the target, they would be interrupted when it exits.
func TestLeavingIsFinal(t *testing.T) {
	now := time.Unix(1000, 0)
	var g Registrar
	g.Merge(now, record(5, 1, ready))
	assertReadyCount(t, &g, now, 1)
	g.Merge(now, record(5, 3, leaving))
	assertReadyCount(t, &g, now, 0)
	t.Run("late", func(t *testing.T) {
		g.Merge(now, record(5, 2, ready))
		assertReadyCount(t, &g, now, 0)
	})
	t.Run("newer of the same incarnation", func(t *testing.T) {
		g.Merge(now, record(5, 4, ready))
		assertReadyCount(t, &g, now, 0)
	})
	t.Run("older incarnation", func(t *testing.T) {
		g.Merge(now, record(4, 9, ready))
		assertReadyCount(t, &g, now, 0)
	})
	t.Run("new incarnation", func(t *testing.T) {
		g.Merge(now, record(6, 1, ready))
		assertReadyCount(t, &g, now, 1)
	})
}

func TestLeaseExpiresWithoutAnnouncements(t *testing.T) {
	now := time.Unix(1000, 0)
	var g Registrar
	g.Merge(now, record(5, 1, ready))
	assertReadyCount(t, &g, now.Add(Lease-1), 1)
	assertReadyCount(t, &g, now.Add(Lease), 0)
	g.Merge(now.Add(Lease), record(5, 1, ready)) // a duplicate does not renew the lease
	assertReadyCount(t, &g, now.Add(Lease), 0)
}

// Entry instances receive announcements in different orders, and some of them twice. They must still agree on which
// targets are ready, or one of them continues to send requests to a target that is leaving.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 4))
		var sent []*wire.Record
		isLeaving := false
		for sequence := range uint64(6) {
			state := ready
			if isLeaving || random.IntN(4) == 0 {
				state, isLeaving = leaving, true
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
		is.Equal(len(first.Ready(now, "listings")) > 0 && newestIsLeaving(sent), false)
		is.Equal(len(second.Ready(now, "listings")) > 0 && newestIsLeaving(sent), false)
	}
}

func clone(r *wire.Record) *wire.Record {
	return record(r.GetIncarnation(), r.GetSequence(), r.GetState())
}

// newestIsLeaving reports whether the newest of the announcements is that the target is leaving.
func newestIsLeaving(sent []*wire.Record) bool {
	newest := sent[0]
	for _, r := range sent {
		if Newer(newest, r) {
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
		{"name", func(r *wire.Record) { r.Name = "t\xff" }},
		{"service, region, zone", func(r *wire.Record) { r.Zone = "z\xff" }},
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

func recordAt(name string, incarnation, sequence uint64, address string, state wire.TargetState) *wire.Record {
	return &wire.Record{
		Name: name, Incarnation: incarnation, Sequence: sequence, Address: address, Service: "listings", Slots: 1, State: state,
	}
}

// A target crashes, and its address is reused by a target of another service. Then a delayed heartbeat of the crashed
// target arrives. If it were accepted, requests for its service would be sent to the new target.
func TestAddressBelongsToTheTargetStartedLast(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var g Registrar
	is.True(g.Merge(now, recordAt("old", 10, 1, "10.0.0.1:80", wire.TargetState_TARGET_READY)))
	is.True(g.Merge(now, recordAt("new", 20, 1, "10.0.0.1:80", wire.TargetState_TARGET_READY)))
	is.True(!g.Merge(now, recordAt("old", 10, 2, "10.0.0.1:80", wire.TargetState_TARGET_READY)))
	old, _ := g.Get("old")
	is.Equal(old.GetState(), wire.TargetState_TARGET_GONE)
	is.Equal(len(g.Ready(now, "listings")), 1)
	is.True(g.Merge(now, recordAt("old", 30, 1, "10.0.0.2:80", wire.TargetState_TARGET_READY)))
	is.Equal(len(g.Ready(now, "listings")), 2)
}

// A target leaves without having announced it, and its last heartbeat arrives after that.
func TestGoneIsFinalForAnIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var g Registrar
	is.True(g.Merge(now, recordAt("u", 10, 4, "10.0.0.1:80", wire.TargetState_TARGET_READY)))
	is.True(g.Merge(now, recordAt("u", 10, 4, "10.0.0.1:80", wire.TargetState_TARGET_GONE)))
	g.Merge(now, recordAt("u", 10, 5, "10.0.0.1:80", wire.TargetState_TARGET_READY))
	got, _ := g.Get("u")
	is.Equal(got.GetState(), wire.TargetState_TARGET_GONE)
	is.True(g.Merge(now, recordAt("u", 11, 1, "10.0.0.1:80", wire.TargetState_TARGET_READY)))
	is.Equal(len(g.Ready(now, "listings")), 1)
}

// A target's last heartbeats reach only disconnected controllers and, through them, some instances. The target then
// leaves through a controller that has only an earlier heartbeat. If announcements were ordered by sequence alone,
// those instances would treat the leave as older than the heartbeats, and continue to send requests.
func TestLeavingPrecedesLaterHeartbeats(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for _, state := range []wire.TargetState{wire.TargetState_TARGET_LEAVING, wire.TargetState_TARGET_GONE} {
		var g Registrar
		is.True(g.Merge(now, recordAt("u", 10, 9, "10.0.0.1:80", wire.TargetState_TARGET_READY)))
		is.True(g.Merge(now, recordAt("u", 10, 8, "10.0.0.1:80", state)))
		is.Equal(len(g.Ready(now, "listings")), 0)
		g.Merge(now, recordAt("u", 10, 12, "10.0.0.1:80", wire.TargetState_TARGET_READY))
		is.Equal(len(g.Ready(now, "listings")), 0)
	}
}

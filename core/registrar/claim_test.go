package registrar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

const (
	// heartbeatInterval is that of the targets of the users' platform.
	heartbeatInterval = 1500 * time.Millisecond
	// farAhead is an incarnation and a sequence that no target reaches.
	farAhead = 1 << 50
)

// target announces itself to a Registrar.
type target struct {
	g        *Registrar
	record   *wire.Record
	now      time.Time
	sequence uint64
}

func newTarget(g *Registrar) *target {
	u := &target{g: g, record: recordAt("u", 10, 0, "10.0.0.1:80", ready), now: time.Unix(1000, 0)}
	u.announce(3)
	return u
}

// announce sends a number of heartbeats, one an interval.
func (u *target) announce(heartbeats int) {
	for range heartbeats {
		u.now = u.now.Add(heartbeatInterval)
		u.sequence++
		u.g.Announce(u.now, recordAt(
			u.record.GetName(), u.record.GetIncarnation(), u.sequence, u.record.GetAddress(), u.record.GetState()))
	}
}

// assertInUse fails unless a target's record is ready and of an incarnation.
func assertInUse(t *testing.T, g *Registrar, name string, incarnation uint64) {
	t.Helper()
	is := is.New(t)
	got, known := g.Get(name)
	is.True(known)
	is.Equal(got.GetState(), ready)
	is.Equal(got.GetIncarnation(), incarnation)
}

// foreignRecords are announcements of another writer with numbers far ahead, at the cost of the target u.
var foreignRecords = map[string]*wire.Record{
	"incarnation":             recordAt("u", farAhead, 1, "10.0.0.1:80", ready),
	"incarnation, leaving":    recordAt("u", farAhead, 1, "10.0.0.1:80", leaving),
	"incarnation, elsewhere":  recordAt("u", farAhead, 1, "10.0.0.9:80", ready),
	"incarnation, no address": recordAt("u", farAhead, 1, "", wire.TargetState_TARGET_GONE),
	"sequence":                recordAt("u", 10, farAhead, "10.0.0.1:80", ready),
	"sequence, elsewhere":     recordAt("u", 10, farAhead, "10.0.0.9:80", ready),
	"address":                 recordAt("foreign", farAhead, 1, "10.0.0.1:80", ready),
}

// Guards against targets that get no requests for good, although they go on announcing themselves: another writer has
// announced their name or address with a number that they never reach.
func TestNumbersFarAheadSilenceNoTarget(t *testing.T) {
	for name, foreign := range foreignRecords {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var g Registrar
			u := newTarget(&g)
			is.True(g.Announce(u.now, foreign))
			u.announce(4)
			assertInUse(t, &g, "u", 10)
			is.Equal(len(g.Ready(u.now.Add(Lease-1), "listings")), 1) // its heartbeats renew its lease again
			if foreign.GetState() == ready && foreign.GetIncarnation() == farAhead {
				is.True(!g.Announce(u.now, foreign))
			}
			u.announce(4)
			assertInUse(t, &g, "u", 10)
		})
	}
}

// Guards against a target that never gets a request, because another one that has ended, or another writer, has claimed its
// address with a higher number before it started.
func TestTargetStartsAtAnAddressWithAHigherNumber(t *testing.T) {
	is := is.New(t)
	var g Registrar
	u := newTarget(&g)
	next := &target{g: &g, record: recordAt("next", 5, 0, "10.0.0.1:80", ready), now: u.now}
	next.announce(2)
	_, known := g.Get("next")
	is.True(!known)
	next.announce(2)
	assertInUse(t, &g, "next", 5)
	got, _ := g.Get("u")
	is.Equal(got.GetState(), wire.TargetState_TARGET_GONE)
}

// Guards against single heartbeats, minutes apart, that count as a target that goes on announcing itself.
func TestHeartbeatsFarApartOverrideNothing(t *testing.T) {
	var g Registrar
	u := newTarget(&g)
	g.Announce(u.now, recordAt("u", 20, 1, "10.0.0.2:80", ready))
	for range 10 {
		u.now = u.now.Add(Lease)
		u.announce(1)
	}
	assertInUse(t, &g, "u", 20)
}

// Guards against memory that announcements without effect take for good.
func TestClaimsAreBounded(t *testing.T) {
	is := is.New(t)
	var g Registrar
	u := newTarget(&g)
	for i := range 2 * maxClaims {
		g.Announce(u.now, recordAt(fmt.Sprint("foreign", i), 1, 1, "10.0.0.1:80", ready))
	}
	is.Equal(len(g.claims), maxClaims)
	u.now = u.now.Add(2 * Lease)
	g.Announce(u.now, recordAt("foreign", 1, 1, "10.0.0.1:80", ready))
	is.Equal(len(g.claims), 1)
}

// Guards against the same after a target has overridden such a record and starts again, or another starts at its
// address: their numbers are lower than that of the record, too.
func TestRestartsAfterAnOverriddenRecord(t *testing.T) {
	for name, foreign := range foreignRecords {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var g Registrar
			u := newTarget(&g)
			g.Announce(u.now, foreign)
			u.announce(4)
			u.record.Incarnation, u.sequence = 20, 0
			u.announce(1)
			assertInUse(t, &g, "u", 20)
			is.True(g.Announce(u.now, recordAt("next", 30, 1, "10.0.0.1:80", ready)))
			assertInUse(t, &g, "next", 30)
			got, _ := g.Get("u")
			is.Equal(got.GetState(), wire.TargetState_TARGET_GONE)
		})
	}
}

// Guards against requests to a target that has ended: its last heartbeats arrive late, all at once or one after the other,
// when the next incarnation has announced itself.
func TestLateHeartbeatsOverrideNothing(t *testing.T) {
	var g Registrar
	u := newTarget(&g)
	g.Announce(u.now, recordAt("u", 20, 1, "10.0.0.2:80", ready))
	for range 20 {
		u.sequence++
		g.Announce(u.now, recordAt("u", 10, u.sequence, "10.0.0.1:80", ready))
	}
	assertInUse(t, &g, "u", 20)
	u.announce(2)
	assertInUse(t, &g, "u", 20)
	g.Announce(u.now, recordAt("u", 20, 2, "10.0.0.2:80", ready))
	u.announce(2)
	assertInUse(t, &g, "u", 20)
}

// Guards against requests to a target that has said that it leaves, because its earlier heartbeats arrive late.
func TestLeavesAreNotOverridden(t *testing.T) {
	var g Registrar
	u := newTarget(&g)
	left := recordAt("u", 10, farAhead, "10.0.0.1:80", leaving)
	g.Announce(u.now, left)
	u.announce(20)
	assertReadyCount(t, &g, u.now, 0)
}

// Guards against requests to a target that leaves after another record of its name has overridden its own, and against
// those to a target that leaves through a controller that has not heard of what it overrides.
func TestLeavesAfterAnOverride(t *testing.T) {
	t.Run("the overridden one", func(t *testing.T) {
		is := is.New(t)
		var g Registrar
		u := newTarget(&g)
		g.Announce(u.now, recordAt("u", 20, 1, "10.0.0.2:80", ready))
		u.announce(4)
		assertInUse(t, &g, "u", 10)
		is.True(g.Announce(u.now, recordAt("u", 20, 2, "10.0.0.2:80", leaving)))
		got, _ := g.Get("u")
		is.Equal(got.GetState(), leaving)
	})
	t.Run("the other one, elsewhere", func(t *testing.T) {
		is := is.New(t)
		overriding := recordAt("u", 10, 7, "10.0.0.1:80", ready)
		overriding.Overrides = farAhead + 1
		left := recordAt("u", 10, 8, "10.0.0.1:80", leaving)
		for _, order := range [][]*wire.Record{{overriding, left}, {left, overriding}} {
			var g Registrar
			for _, r := range order {
				g.Merge(time.Unix(1000, 0), r)
			}
			got, _ := g.Get("u")
			is.Equal(got.GetState(), leaving)
			is.Equal(got.GetOverrides(), uint64(farAhead+1))
		}
	})
}

// Guards against a number after which none can follow.
func TestHighestNumbersAreRefused(t *testing.T) {
	is := is.New(t)
	r := recordAt("u", 1, 1, "10.0.0.1:80", ready)
	is.NoErr(CheckFormat(r))
	r.Incarnation = maxNumber + 1
	is.True(CheckFormat(r) != nil)
	is.True(CheckIncarnation(maxNumber+1) != nil)
	r.Incarnation, r.Sequence = maxNumber, maxNumber+1
	is.True(CheckFormat(r) != nil)
}

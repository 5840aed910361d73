package registrar

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

// Guards against announcements that name no target: requests would be sent to the instance itself, or to no one.
func TestOddAddressesAreRefused(t *testing.T) {
	for _, address := range []string{
		"", ":", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:00", "10.0.0.1:-1", "10.0.0.1:+80",
		"10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:18446744073709551697", "10.0.0.1:1e3", "10.0.0.1:http",
		"10.0.0.1:80:80", " 10.0.0.1:80", "10.0.0.1:80\r\n", "10.0.0.256:80", "10.1:80", "h.example:80",
		"localhost:80", "[fe80::1%eth0]:80", "[fe80::1%x y]:80", "::1:80x", "[::1]", "[::1]:0", "0.0.0.0:80", "[::]:80",
		"[::ffff:0.0.0.0]:80", "224.0.0.1:80", "[ff02::1]:80", "255.255.255.255:80", "http://10.0.0.1:80", "\x00",
	} {
		t.Run(address, func(t *testing.T) {
			r := record(5, 1, ready)
			r.Address = address
			var refused *AnnouncementError
			is.New(t).True(errors.As(CheckFormat(r), &refused))
		})
	}
	for _, address := range []string{
		"10.0.0.1:1", "10.0.0.1:65535", "127.0.0.1:80", "[::1]:80", "[fd00::1]:8080", "169.254.0.1:80", "[fe80::1]:80",
	} {
		r := record(5, 1, ready)
		r.Address = address
		is.New(t).NoErr(CheckFormat(r))
	}
}

// Guards against targets that are given no full share of the requests for good, because one announcement states a time
// that no start takes.
func TestOddNumbersAreRefused(t *testing.T) {
	for name, change := range map[string]func(r *wire.Record){
		"slots 0":         func(r *wire.Record) { r.Slots = 0 },
		"slots -1":        func(r *wire.Record) { r.Slots = -1 },
		"least slots":     func(r *wire.Record) { r.Slots = math.MinInt32 },
		"most slots":      func(r *wire.Record) { r.Slots = math.MaxInt32 },
		"least load":      func(r *wire.Record) { r.Load = math.MinInt32 },
		"sequence 2^63":   func(r *wire.Record) { r.Sequence = 1 << 63 },
		"sequence 2^64-1": func(r *wire.Record) { r.Sequence = math.MaxUint64 },
		"incarnation 0":   func(r *wire.Record) { r.Incarnation = 0 },
		"incarnation":     func(r *wire.Record) { r.Incarnation = math.MaxUint64 },
		"cold for good":   func(r *wire.Record) { r.Cold = math.MaxInt64 },
		"cold for days":   func(r *wire.Record) { r.Cold = int64(72 * time.Hour) },
		"cold, negative":  func(r *wire.Record) { r.Cold = math.MinInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			r := record(5, 1, ready)
			change(r)
			var refused *AnnouncementError
			is.New(t).True(errors.As(CheckFormat(r), &refused))
		})
	}
	r := record(5, 1, ready)
	for _, cold := range []time.Duration{-time.Second, 0, time.Minute, time.Hour} {
		r.Cold = int64(cold)
		is.New(t).NoErr(CheckFormat(r))
	}
}

// Guards against instances that are killed for their memory, again and again, by a record that no check at the edge has
// seen: slots are divided one by one.
func TestRecordWithTooManySlotsIsNotStored(t *testing.T) {
	is := is.New(t)
	var g Registrar
	now := time.Unix(1000, 0)
	odd := record(5, 1, ready)
	odd.Slots = math.MaxInt32
	is.True(!g.Merge(now, odd))
	is.True(!g.Announce(now, odd))
	assertReadyCount(t, &g, now, 0)
	is.True(g.Merge(now, record(5, 1, ready)))
	assertReadyCount(t, &g, now, 1)
}

package gossiper

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
)

const (
	// maxReserveSize bounds the encoded records in a reserve, in bytes: announcements of some 20,000 targets.
	maxReserveSize = 4 << 20
	// reserveRetention is how long a record is reserved after it was last received, from the target or a controller.
	reserveRetention = time.Minute
	// reserveResend is the interval at which a controller sends the others the record of a target that goes on announcing
	// itself, without a change.
	reserveResend = 20 * time.Second
)

// reserve holds announcements of ready targets for services that no plan names: targets may start before their service is
// added. Among the records of targets in use, they would replace those with the same name or address, whoever sent them;
// callers would notice that all requests are refused while the targets go on announcing themselves.
type reserve struct {
	byKey     map[string]*reserveEntry
	changeLog changeLog
	// size is that of all encoded records, in bytes.
	size int
}

type reserveEntry struct {
	record  *wire.Record
	size    int
	changed uint64
	// direct is set if the target announces itself here, announcedAt is when it last did, or when the record was received.
	direct      bool
	announcedAt time.Time
	sentAt      time.Time
}

// reserveKey returns the key of a record. One name may be announced for several services, by several writers.
func reserveKey(r *wire.Record) string {
	return strconv.Itoa(len(r.GetName())) + ":" + r.GetName() + r.GetService()
}

// lastChange returns the counter at which a record last changed, or 0 if it is not reserved.
func (v *reserve) lastChange(key string) uint64 {
	if e, ok := v.byKey[key]; ok {
		return e.changed
	}
	return 0
}

func (v *reserve) remove(key string) {
	if e, ok := v.byKey[key]; ok {
		v.size -= e.size
		delete(v.byKey, key)
	}
}

// Reserve holds a target's own announcement for a service that no plan names until Admit is called with the service, and
// sends it to the other controllers. It reports whether the target was not reserved before. Beyond maxReserveSize,
// further targets are ignored.
func (g *Gossiper) Reserve(now time.Time, r *wire.Record) bool {
	g.init()
	return g.mergeReserved(now, r, true)
}

// mergeReserved stores a record if it is newer than the one reserved, and reports whether there was none.
func (g *Gossiper) mergeReserved(now time.Time, r *wire.Record, direct bool) bool {
	v := &g.reserve
	if v.byKey == nil {
		v.byKey = map[string]*reserveEntry{}
	}
	key := reserveKey(r)
	old, known := v.byKey[key]
	size := proto.Size(r)
	if known && !registrar.Newer(old.record, r) || v.size+size > maxReserveSize {
		return false
	}
	v.remove(key)
	e := &reserveEntry{record: r, size: size, direct: direct, announcedAt: now}
	if known {
		e.changed, e.sentAt = old.changed, old.sentAt
	}
	v.byKey[key] = e
	v.size += size
	if direct && (!known || !old.direct || differ(old.record, r) || now.Sub(e.sentAt) >= reserveResend) {
		g.sendReserved(now, key, e)
	}
	return !known
}

// sendReserved records that a reserved record has to be sent to the other controllers.
func (g *Gossiper) sendReserved(now time.Time, key string, e *reserveEntry) {
	g.counter++
	e.changed, e.sentAt = g.counter, now
	g.reserve.changeLog.add(g.counter, key, g.reserve.lastChange)
	g.marks.Outgoing = g.counter
}

// reservedBetween returns the records that changed after a counter and up to another one, of targets that announce
// themselves here.
func (g *Gossiper) reservedBetween(counter, upTo uint64) []*wire.Record {
	var out []*wire.Record
	for _, key := range g.reserve.changeLog.part(counter, upTo, 0, g.reserve.lastChange).names {
		if e := g.reserve.byKey[key]; e.direct {
			out = append(out, e.record)
		}
	}
	return out
}

// expireReserved marks the targets that have stopped announcing themselves here as silent, and removes those of which
// nothing was received for longer.
func (g *Gossiper) expireReserved(now time.Time) {
	for key, e := range g.reserve.byKey {
		age := now.Sub(e.announcedAt)
		if age >= reserveRetention {
			g.reserve.remove(key)
			continue
		}
		if e.direct && age >= silentAfter && !e.record.GetSilent() {
			e.record = proto.CloneOf(e.record)
			e.record.Silent = true
			g.sendReserved(now, key, e)
		}
	}
}

// Admit takes the reserved targets of services that named reports into use, and returns the records of those that
// announce themselves here.
func (g *Gossiper) Admit(now time.Time, named func(service string) bool) []*wire.Record {
	g.init()
	var out []*wire.Record
	for key, e := range g.reserve.byKey {
		if !named(e.record.GetService()) {
			continue
		}
		g.reserve.remove(key)
		switch {
		case e.record.GetSilent():
		case e.direct:
			g.Announce(now, e.record)
			out = append(out, e.record)
		default:
			g.mergeRecord(now, e.record)
		}
	}
	return out
}

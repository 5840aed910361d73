package gossiper

import (
	"maps"

	"chervilrail.example/core/placer"
	"chervilrail.example/core/wire"
)

// maxRateLimits bounds the targets whose limits are kept. Further ones are ignored.
const maxRateLimits = 4096

// rateLimits holds the limits that targets have named in their answers. They are sent to all controllers and entry
// instances: a limit is one of all instances together, and those that may send nothing learn only from others when it
// has ended.
type rateLimits struct {
	byTarget  map[string]*rateLimitEntry
	changeLog changeLog
}

type rateLimitEntry struct {
	limit   *wire.RateLimit
	changed uint64
}

func (l *rateLimits) lastChange(target string) uint64 {
	if e, ok := l.byTarget[target]; ok {
		return e.changed
	}
	return 0
}

// removeEnded removes the limits that have ended.
func (l *rateLimits) removeEnded() {
	maps.DeleteFunc(l.byTarget, func(_ string, e *rateLimitEntry) bool { return !e.limit.GetNamed() })
}

// UpdateRateLimits merges limits that an entry instance reported.
func (g *Gossiper) UpdateRateLimits(list []*wire.RateLimit) { g.mergeRateLimits(list, true) }

// mergeRateLimits merges limits; direct is set for those from an entry instance. Whoever receives one passes it on.
func (g *Gossiper) mergeRateLimits(list []*wire.RateLimit, direct bool) {
	l := &g.rateLimits
	if l.byTarget == nil {
		l.byTarget = map[string]*rateLimitEntry{}
	}
	if len(l.byTarget)+len(list) > maxRateLimits {
		l.removeEnded()
	}
	for _, limit := range list {
		old, known := l.byTarget[limit.GetTarget()]
		if known && !supersedesLimit(limit, old.limit) || !known && len(l.byTarget) >= maxRateLimits {
			continue
		}
		g.counter++
		l.byTarget[limit.GetTarget()] = &rateLimitEntry{limit, g.counter}
		l.changeLog.add(g.counter, limit.GetTarget(), l.lastChange)
		g.marks.Watched, g.marks.Urgent, g.marks.Outgoing = g.counter, g.counter, g.counter
		if direct {
			g.marks.UrgentOutgoing = g.counter
		}
	}
}

// supersedesLimit reports whether a limit takes precedence over the stored one.
func supersedesLimit(limit, old *wire.RateLimit) bool {
	return RateLimit(limit).Supersedes(RateLimit(old))
}

// RateLimit returns the limit in a message.
func RateLimit(l *wire.RateLimit) placer.RateLimit {
	return placer.RateLimit{
		Named: l.GetNamed(), Rate: l.GetRate(), Incarnation: l.GetIncarnation(), Version: l.GetVersion(),
	}
}

// rateLimitsBetween returns the limits that changed after a counter and not after upTo.
func (g *Gossiper) rateLimitsBetween(counter, upTo uint64) []*wire.RateLimit {
	var out []*wire.RateLimit
	for _, target := range g.rateLimits.changeLog.part(counter, upTo, 0, g.rateLimits.lastChange).names {
		out = append(out, g.rateLimits.byTarget[target].limit)
	}
	return out
}

package gossiper

import (
	"maps"
	"time"

	"chervilrail.example/core/wire"
)

const (
	// maxBackoffs bounds the targets whose backoffs are kept. Further ones are ignored.
	maxBackoffs = 4096
	// backoffStep is the least time by which a backoff has to be longer than the known one to be passed on.
	backoffStep = 250 * time.Millisecond
)

// backoffs holds the times for which targets want no requests of some entry instance, so that the others send theirs
// elsewhere: with many instances, each of which has few requests for a target, nearly every request for it would be the
// first of its instance and be turned away.
type backoffs struct {
	byTarget  map[string]*backoffEntry
	changeLog changeLog
}

type backoffEntry struct {
	incarnation uint64
	until       time.Time
	changed     uint64
	// direct is set if an entry instance reported it here. Only those are sent to the other controllers: the time left
	// grows by each transfer, and would never end if all passed it on.
	direct bool
}

func (b *backoffs) lastChange(target string) uint64 {
	if e, ok := b.byTarget[target]; ok {
		return e.changed
	}
	return 0
}

// removeEnded removes the backoffs that have ended.
func (b *backoffs) removeEnded(now time.Time) {
	maps.DeleteFunc(b.byTarget, func(_ string, e *backoffEntry) bool { return !now.Before(e.until) })
}

// UpdateBackoffs merges backoffs that an entry instance reported.
func (g *Gossiper) UpdateBackoffs(now time.Time, list []*wire.Backoff) {
	g.mergeBackoffs(now, list, true)
}

// mergeBackoffs merges backoffs; direct is set for those from an entry instance.
func (g *Gossiper) mergeBackoffs(now time.Time, list []*wire.Backoff, direct bool) {
	b := &g.backoffs
	if b.byTarget == nil {
		b.byTarget = map[string]*backoffEntry{}
	}
	for _, reported := range list {
		next := &backoffEntry{
			incarnation: reported.GetIncarnation(), until: now.Add(time.Duration(reported.GetRemaining())), direct: direct,
		}
		old, known := b.byTarget[reported.GetTarget()]
		if known && !next.supersedes(old) || !known && len(b.byTarget) >= maxBackoffs || !next.until.After(now) {
			continue
		}
		g.counter++
		next.changed = g.counter
		b.byTarget[reported.GetTarget()] = next
		b.changeLog.add(g.counter, reported.GetTarget(), b.lastChange)
		g.marks.Watched = g.counter
		if direct {
			g.marks.Outgoing = g.counter
		}
	}
}

func (e *backoffEntry) supersedes(old *backoffEntry) bool {
	if e.incarnation != old.incarnation {
		return e.incarnation > old.incarnation
	}
	return e.until.After(old.until.Add(backoffStep))
}

// backoffsBetween returns the backoffs that changed after a counter and not after upTo, with the time left of each;
// onlyDirect leaves out those that another controller sent.
func (g *Gossiper) backoffsBetween(now time.Time, counter, upTo uint64, onlyDirect bool) []*wire.Backoff {
	var out []*wire.Backoff
	for _, target := range g.backoffs.changeLog.part(counter, upTo, 0, g.backoffs.lastChange).names {
		e := g.backoffs.byTarget[target]
		if remaining := e.until.Sub(now); remaining > 0 && (e.direct || !onlyDirect) {
			out = append(out, &wire.Backoff{Target: target, Incarnation: e.incarnation, Remaining: int64(remaining)})
		}
	}
	return out
}

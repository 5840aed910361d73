package quoter

import (
	"time"

	"chervilrail.example/core/wire"
)

const (
	// stood is how far the time of day may run ahead of the steady clock between two looks; more shows that the process
	// stood still.
	stood = 200 * time.Millisecond
	// endEvery is how often holders that are gone are looked for.
	endEvery = 100 * time.Millisecond
)

// MarkNew tells that a holder was listed by this leader: nobody else can have given it any part.
func (a *Allotter) MarkNew(h *wire.QuotaHolder) {
	delete(a.unknown, id{h.GetName(), h.GetIncarnation()})
}

// Expired returns listed holders that another run of their name has followed, or that were not heard for long, and that hold
// nothing any more.
func (a *Allotter) Expired(now time.Time) []*wire.QuotaHolder {
	a.look(now)
	var out []*wire.QuotaHolder
	for who, h := range a.listed {
		if h.over {
			out = append(out, &wire.QuotaHolder{Name: who.name, Incarnation: who.incarnation})
		}
	}
	return out
}

// look notices that the process stood still, and ends the parts that can't be in use any more.
func (a *Allotter) look(now time.Time) {
	if !a.lookedAt.IsZero() {
		a.compare(now, now.Sub(a.lookedAt), now.Round(0).Sub(a.lookedAt.Round(0)))
	}
	a.lookedAt = now
	if now.Before(a.endAt) {
		return
	}
	a.endAt = now.Add(endEvery)
	for who, h := range a.listed {
		if until := a.heldUntil(now, who, h); !until.IsZero() && !now.Before(until) {
			a.drop(h)
			h.over = true
			delete(a.unknown, who)
		}
	}
}

// compare notices a process that stood still: its steady clock did, too, and the time of day went on.
func (a *Allotter) compare(now time.Time, steady, day time.Duration) {
	if day-steady > stood {
		a.distrusted = now.Add(a.Holdoff)
	}
}

// heldUntil is until when a holder's parts may be in use, zero if it was listed and has not reported yet. One that another
// run of its name has followed uses them no more, and what it let through leaves the window.
func (a *Allotter) heldUntil(now time.Time, who id, h *holder) time.Time {
	until, unknown := a.unknown[who]
	if !unknown {
		until = h.until
	}
	if a.latest[who.name] == who || h.followed {
		return until
	}
	h.followed = true
	if ended := now.Add(a.outlast()); until.IsZero() || ended.Before(until) {
		until = ended
	}
	h.until = until
	if unknown {
		a.unknown[who] = until
	}
	return until
}

// mayHold is until when parts may be in use that were renewed at a time.
func (a *Allotter) mayHold(at time.Time) time.Time {
	return at.Add(a.Lease + a.Lease/driftParts + a.outlast())
}

// outlast is how long what a holder let through counts after its end.
func (a *Allotter) outlast() time.Duration { return a.Window + a.Window/driftParts }

// outrun ends the parts of earlier runs of a holder: its run has lasted so long already.
func (a *Allotter) outrun(now time.Time, who id, age time.Duration) {
	ended := now.Add(a.outlast() - max(0, age))
	for other, h := range a.listed {
		if other.name != who.name || other == who {
			continue
		}
		if ended.Before(h.until) {
			h.until = ended
		}
		if unknown, ok := a.unknown[other]; ok && ended.Before(unknown) {
			a.unknown[other] = ended
		}
	}
}

// awaits is how long it takes until the last holder is known or holds nothing, if that can be told: those that still run
// report sooner.
func (a *Allotter) awaits(now time.Time) time.Duration {
	longest := time.Duration(0)
	for who, until := range a.unknown {
		if a.latest[who.name] != who {
			longest = max(longest, until.Sub(now))
		}
	}
	return longest
}

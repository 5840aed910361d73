package quoter

import (
	"time"

	"chervilrail.example/core/wire"
)

const (
	// suspensionThreshold is how far the time of day may run ahead of the steady clock between two looks; more shows that the process
	// suspensionThreshold still.
	suspensionThreshold = 200 * time.Millisecond
	// expiryInterval is how often holders that are gone are looked for.
	expiryInterval = 100 * time.Millisecond
)

// MarkNew tells that a holder was listed by this leader: nobody else can have given it any part.
func (a *Allotter) MarkNew(h *wire.QuotaHolder) {
	delete(a.unreported, holderID{h.GetName(), h.GetIncarnation()})
}

// Expired returns listed holders that another run of their name has followed, or that were not heard for long, and that hold
// nothing any more.
func (a *Allotter) Expired(now time.Time) []*wire.QuotaHolder {
	a.refresh(now)
	var out []*wire.QuotaHolder
	for who, h := range a.listed {
		if h.expired {
			out = append(out, &wire.QuotaHolder{Name: who.name, Incarnation: who.incarnation})
		}
	}
	return out
}

// refresh notices that the process stood still, and ends the parts that can't be in use any more.
func (a *Allotter) refresh(now time.Time) {
	if !a.refreshedAt.IsZero() {
		a.detectSuspension(now, now.Sub(a.refreshedAt), now.Round(0).Sub(a.refreshedAt.Round(0)))
	}
	a.refreshedAt = now
	if now.Before(a.expireAt) {
		return
	}
	a.expireAt = now.Add(expiryInterval)
	for who, h := range a.listed {
		if until := a.heldUntil(now, who, h); !until.IsZero() && !now.Before(until) {
			a.release(h)
			h.expired = true
			delete(a.unreported, who)
		}
	}
}

// detectSuspension notices a process that stood still: its steady clock did, too, and the time of day went on.
func (a *Allotter) detectSuspension(now time.Time, monotonic, wall time.Duration) {
	if wall-monotonic > suspensionThreshold {
		a.holdoffUntil = now.Add(a.Holdoff)
	}
}

// heldUntil is until when a holder's parts may be in use, zero if it was listed and has not reported yet. One that another
// run of its name has followed uses them no more, and what it let through leaves the window.
func (a *Allotter) heldUntil(now time.Time, who holderID, h *holderState) time.Time {
	until, unreported := a.unreported[who]
	if !unreported {
		until = h.until
	}
	if a.latest[who.name] == who || h.superseded {
		return until
	}
	h.superseded = true
	if ended := now.Add(a.windowWithDrift()); until.IsZero() || ended.Before(until) {
		until = ended
	}
	h.until = until
	if unreported {
		a.unreported[who] = until
	}
	return until
}

// inUseUntil is until when parts may be in use that were renewed at a time.
func (a *Allotter) inUseUntil(renewedAt time.Time) time.Time {
	return renewedAt.Add(a.Lease + a.Lease/driftDivisor + a.windowWithDrift())
}

// windowWithDrift is how long what a holder let through counts after its end.
func (a *Allotter) windowWithDrift() time.Duration { return a.Window + a.Window/driftDivisor }

// expireEarlierRuns ends the parts of earlier runs of a holder: its run has lasted so long already.
func (a *Allotter) expireEarlierRuns(now time.Time, who holderID, age time.Duration) {
	ended := now.Add(a.windowWithDrift() - max(0, age))
	for other, h := range a.listed {
		if other.name != who.name || other == who {
			continue
		}
		if ended.Before(h.until) {
			h.until = ended
		}
		if unknown, ok := a.unreported[other]; ok && ended.Before(unknown) {
			a.unreported[other] = ended
		}
	}
}

// unreportedWait is how long it takes until the last holder is known or holds nothing, if that can be told: those that still run
// report sooner.
func (a *Allotter) unreportedWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for who, until := range a.unreported {
		if a.latest[who.name] != who {
			longest = max(longest, until.Sub(now))
		}
	}
	return longest
}

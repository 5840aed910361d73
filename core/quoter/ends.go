package quoter

import (
	"time"

	"chervilrail.example/core/wire"
)

const (
	// suspensionThreshold is how far the wall clock may run ahead of the monotonic clock between two checks. A larger
	// difference shows that the process was suspended.
	suspensionThreshold = 200 * time.Millisecond
	// expiryInterval is how often expired holders are looked for.
	expiryInterval = 100 * time.Millisecond
)

// MarkNew records that this leader listed the holder: no other leader can have allotted it any part.
func (a *Allotter) MarkNew(h *wire.QuotaHolder) {
	delete(a.unreported, holderID{h.GetName(), h.GetIncarnation()})
}

// Expired returns the listed holders whose parts can't be in use any more, because a later run of the same instance is
// listed or because they have not reported for long.
func (a *Allotter) Expired(now time.Time) []*wire.QuotaHolder {
	a.refresh(now)
	var out []*wire.QuotaHolder
	for id, h := range a.listed {
		if h.expired {
			out = append(out, &wire.QuotaHolder{Name: id.name, Incarnation: id.incarnation})
		}
	}
	return out
}

// refresh detects a suspension of the process, and expires the holders whose parts can't be in use any more.
func (a *Allotter) refresh(now time.Time) {
	if !a.refreshedAt.IsZero() {
		a.detectSuspension(now, now.Sub(a.refreshedAt), now.Round(0).Sub(a.refreshedAt.Round(0)))
	}
	a.refreshedAt = now
	if now.Before(a.expireAt) {
		return
	}
	a.expireAt = now.Add(expiryInterval)
	for id, h := range a.listed {
		if until := a.partsInUseUntil(now, id, h); !until.IsZero() && !now.Before(until) {
			a.release(h)
			h.expired = true
			delete(a.unreported, id)
		}
	}
}

// detectSuspension stops allotting for a while if the process was suspended: the monotonic clock stops during a
// suspension, the wall clock does not.
func (a *Allotter) detectSuspension(now time.Time, monotonic, wall time.Duration) {
	if wall-monotonic > suspensionThreshold {
		a.holdoffUntil = now.Add(a.Holdoff)
	}
}

// partsInUseUntil returns until when a holder's parts may be in use, zero if it was listed by this leader and has not
// reported yet. A superseded run admits no more requests, so its parts are in use only until the requests that it
// admitted have left the window.
func (a *Allotter) partsInUseUntil(now time.Time, id holderID, h *holderState) time.Time {
	until, unreported := a.unreported[id]
	if !unreported {
		until = h.until
	}
	if a.latest[id.name] == id || h.superseded {
		return until
	}
	h.superseded = true
	if ended := now.Add(a.windowWithDrift()); until.IsZero() || ended.Before(until) {
		until = ended
	}
	h.until = until
	if unreported {
		a.unreported[id] = until
	}
	return until
}

// inUseUntil returns until when parts that were renewed at a time may be in use.
func (a *Allotter) inUseUntil(renewedAt time.Time) time.Time {
	return renewedAt.Add(a.Lease + a.Lease/driftDivisor + a.windowWithDrift())
}

// windowWithDrift returns how long the requests of a run count after the run has ended: a window, and the drift of the
// clocks in it.
func (a *Allotter) windowWithDrift() time.Duration { return a.Window + a.Window/driftDivisor }

// expireEarlierRuns limits until when the parts of earlier runs of an instance may be in use, given the age of its
// current run: the earlier ones had ended when it started.
func (a *Allotter) expireEarlierRuns(now time.Time, id holderID, age time.Duration) {
	ended := now.Add(a.windowWithDrift() - max(0, age))
	for other, h := range a.listed {
		if other.name != id.name || other == id {
			continue
		}
		if ended.Before(h.until) {
			h.until = ended
		}
		if expiry, ok := a.unreported[other]; ok && ended.Before(expiry) {
			a.unreported[other] = ended
		}
	}
}

// unreportedWait returns how long it takes until all superseded holders that have not reported have expired. Those that
// are still running report sooner.
func (a *Allotter) unreportedWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for id, until := range a.unreported {
		if a.latest[id.name] != id {
			longest = max(longest, until.Sub(now))
		}
	}
	return longest
}

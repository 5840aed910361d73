package placer

import "time"

// maxAvoidedPercent is the percentage of a region's targets that want no requests of other instances above which that is
// ignored.
const (
	maxAvoidedPercent = 50
	percent           = 100
)

// advice holds the regions in which instances do not avoid the targets that want no requests of others, as computed at a
// time: that takes a pass over all targets of a region.
type advice struct {
	at      time.Time
	ignored map[string]bool
}

// AvoidUntil records that a target wants no requests of other instances until a time. This instance may still send
// there, but does so only where it finds no other target with room.
func (p *Placer) AvoidUntil(now time.Time, target string, incarnation uint64, until time.Time) {
	t, ok := p.byName[target]
	if !ok || t.Incarnation != incarnation {
		return
	}
	p.advice.ignored = nil
	t.backoff.avoidUntil = later(t.backoff.avoidUntil, earlier(until, now.Add(maxBackoff)))
}

// avoided reports whether a target is left to others because it wants no requests of other instances. Where most targets
// of its region do not, there is no room for what they would take.
func (p *Placer) avoided(now time.Time, t *Target) bool {
	return now.Before(t.backoff.avoidUntil) && !p.ignoresAdvice(now, t.Region)
}

func (p *Placer) ignoresAdvice(now time.Time, region string) bool {
	a := &p.advice
	if a.ignored == nil || now.Sub(a.at) >= snapshotValidity {
		a.at, a.ignored = now, map[string]bool{}
	}
	ignored, known := a.ignored[region]
	if !known {
		ignored = mostAreAvoided(now, p.hosts.byRegion[region])
		a.ignored[region] = ignored
	}
	return ignored
}

func mostAreAvoided(now time.Time, targets []*Target) bool {
	avoided := 0
	for _, t := range targets {
		if now.Before(t.backoff.avoidUntil) {
			avoided++
		}
	}
	return avoided*percent > maxAvoidedPercent*len(targets)
}

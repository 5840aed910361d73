package placer

import (
	"slices"
	"time"
)

const (
	// maxBackoff bounds a backoff, whatever the target asks for: after it one request looks whether the target takes any.
	maxBackoff = 5 * time.Minute
	// minReturnDelay is how much longer than asked for an instance keeps away. It doubles with each further backoff of a
	// series, up to maxReturnDelay: a target that asks for little, again and again, would reject a large part of all
	// requests.
	minReturnDelay = 50 * time.Millisecond
	maxReturnDelay = 2 * time.Second
	// minReportedBackoff is the least backoff that other instances are told of: a shorter one is over when they learn of
	// it. reportStep is the least time by which it has to be longer than the one that they know.
	minReportedBackoff = 500 * time.Millisecond
	reportStep         = 500 * time.Millisecond
	// maxAvoidedPercent is the percentage of a region's targets that want no requests of other instances above which that
	// is ignored.
	maxAvoidedPercent = 50
	percent           = 100
)

// backoff is the time for which a target wants no requests of this instance, and the return after it. The zero value is
// that of a target that never asked for any.
type backoff struct {
	// until is when the time ends, resumeAt when this instance sends the next request.
	until    time.Time
	resumeAt time.Time
	// rejections is how many backoffs the present series has had, without an answer in between.
	rejections int
	// window is how many requests may be in flight there since the end, zero for any number. It begins with one and grows
	// with each answer: a target that was in need would otherwise be met by all that waited for it.
	window int32
	// avoidUntil is until when the target wants no requests of other instances.
	avoidUntil time.Time
}

// allows reports whether a request may be sent while a number of them are in flight.
func (b *backoff) allows(now time.Time, running int32) bool {
	return !now.Before(b.resumeAt) && (b.window == 0 || running < b.window)
}

// avoided reports whether a target is left to others because it wants no requests of other instances. Where most targets
// of its region do not, there is no room for what they would take.
func (p *Placer) avoided(now time.Time, t *Target) bool {
	return now.Before(t.backoff.avoidUntil) && !p.ignoresAdvice(now, t.Region)
}

// advice holds the regions in which advice is ignored, as computed at a time: that takes a pass over all their targets.
type advice struct {
	at      time.Time
	ignored map[string]bool
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

// returnAt is until when a target's requests are better sent elsewhere.
func (p *Placer) returnAt(now time.Time, t *Target) time.Time {
	if p.avoided(now, t) {
		return later(t.backoff.resumeAt, t.backoff.avoidUntil)
	}
	return t.backoff.resumeAt
}

// holdsBack reports whether a target wants no requests, or few since it last wanted none.
func (p *Placer) holdsBack(now time.Time, t *Target) bool {
	return now.Before(p.returnAt(now, t)) || t.backoff.window > 0
}

// extend records that a target wants no requests until a time. Of several times the latest holds.
func (b *backoff) extend(now, until time.Time) bool {
	until = earlier(until, now.Add(maxBackoff))
	if !until.After(b.until) || !until.After(now) {
		return false
	}
	if b.window == 0 {
		b.rejections = 0
	}
	if !now.Before(b.until) {
		b.rejections++
	}
	b.until, b.window = until, 1
	b.resumeAt = until.Add(min(maxReturnDelay, minReturnDelay<<min(b.rejections-1, maxDoublings)))
	return true
}

// recordOutcome widens the window after an answer, and narrows it to one request after a failure.
func (b *backoff) recordOutcome(now time.Time, o Outcome, slots int32) {
	switch {
	case b.window == 0 || now.Before(b.resumeAt):
	case o.ResponseTime == 0:
		b.window = 1
	case b.window >= slots:
		b.window = 0
	default:
		b.window++
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordBackoff records that a target has turned a request away and wants none until a time. It reports whether that is
// longer than known before.
func (p *Placer) RecordBackoff(now time.Time, t *Target, until time.Time) bool {
	t, listed := p.current(t)
	if t == nil || !t.backoff.extend(now, until) {
		return false
	}
	if !listed {
		p.departed.add(now, map[string]*Target{t.Name: t})
		return true
	}
	if !slices.ContainsFunc(p.hosts.byRegion[t.Region], func(other *Target) bool { return other.usable(now) }) {
		p.regionSplit.liftLimit(now)
	}
	return true
}

// ReportsBackoff reports whether other instances should learn until when a target wants no requests.
func (p *Placer) ReportsBackoff(now time.Time, t *Target) bool {
	b := &t.backoff
	return b.until.Sub(now) >= minReportedBackoff && b.until.Sub(b.avoidUntil) >= reportStep
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

// substitute chooses the target of requests for an object whose host wants no requests.
type substitute interface {
	// waits reports whether a request waits for its host, which takes requests again at a time.
	waits(now, resumeAt time.Time, t *Ticket) bool
	// choose returns the target of a request that does not wait, or nil.
	choose(p *Placer, now time.Time, t *Ticket, host *Target) *Target
}

// rendezvous has requests wait for their host while that is on time and sooner than a cold run elsewhere. Otherwise they
// go to the target with the greatest rendezvous weight for the object in the host's region. All instances choose the same one, so the object runs cold
// there once, and no requests move between regions; the object stays assigned to its host, which has it warm when it
// takes requests again.
type rendezvous struct{}

func (rendezvous) waits(now, resumeAt time.Time, t *Ticket) bool {
	answered := resumeAt.Add(t.WarmTime)
	return !answered.After(t.SoftDeadline) && !answered.After(now.Add(t.ColdTime))
}

func (rendezvous) choose(p *Placer, now time.Time, t *Ticket, host *Target) *Target {
	var best *Target
	most := uint64(0)
	for _, target := range p.hosts.byRegion[host.Region] {
		if target == host || !p.allowed(target, t) || !target.usable(now) || target.down(now) ||
			p.avoided(now, target) {
			continue
		}
		if w := hashWeight(t.Key, target.Name); best == nil || w > most {
			best, most = target, w
		}
	}
	if best == nil {
		return nil
	}
	if _, ok := p.cost(now, best, t, warmProbability(0)); !ok {
		return nil
	}
	return best
}

func (p *Placer) substitute() substitute {
	if p.substitutes != nil {
		return p.substitutes
	}
	return rendezvous{}
}

// awaitsHost reports whether a request is to go to its host, or to wait for it, though that may want no requests now.
// What does not fit into the window of the return goes to the substitute, which has the object warm by then.
func (p *Placer) awaitsHost(now time.Time, t *Ticket, host *Target) bool {
	if at := p.returnAt(now, host); now.Before(at) {
		return p.substitute().waits(now, at, t)
	}
	return host.backoff.allows(now, host.running)
}

// chooseSubstitute returns the target of a request whose host wants no requests or has just turned it away, or nil. If
// the host wants none of other instances only, the request goes there where the substitute has no room.
func (p *Placer) chooseSubstitute(now time.Time, t *Ticket) *Target {
	host, ok := p.byName[t.Host]
	if !ok || host.down(now) || !p.holdsBack(now, host) {
		return nil
	}
	if target := p.substitute().choose(p, now, t, host); target != nil {
		return target
	}
	if !p.allowed(host, t) {
		return nil
	}
	return p.hostWithRoom(now, t, host)
}

package placer

import "time"

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

// substitute chooses the target of requests for an object whose host wants no requests.
type substitute interface {
	// waits reports whether a request waits for its host, which takes requests again at a time.
	waits(now, resumeAt time.Time, t *Ticket) bool
	// choose returns the target of a request that does not wait, or nil.
	choose(p *Placer, now time.Time, t *Ticket, host *Target) *Target
}

// rendezvous has requests wait for their host while that is on time and sooner than a cold run elsewhere. Otherwise they
// go to the target with the greatest rendezvous weight for the object in the host's region. All instances choose the same
// one, so the object runs cold there once, and no requests move between regions; the object stays assigned to its host,
// which has it warm when it takes requests again.
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

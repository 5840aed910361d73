package placer

import (
	"slices"
	"time"

	"chervilrail.example/core/gauger"
)

const (
	// warmQueue is how many requests may queue at a target that has the object warm. Such a target works three times as
	// fast as any other, so a short wait there beats a free slot elsewhere.
	warmQueue = 1.5
	// lessUrgentQueue is the same for requests that are less urgent than the most urgent ones of the service; it keeps
	// a place in that queue for the latter.
	lessUrgentQueue = 1
	// lateQueue is the same for requests that can't be on time any more. It is low so that requests that can still be
	// on time meet a shorter queue.
	lateQueue = 0.5
	// scarceUtilisation is the fraction of slots in use above which requests wait for the hosts of their objects and
	// start nowhere else, where they would take the time of three others and evict other objects.
	scarceUtilisation = 0.3
	// crossZoneCost is added for targets in other availability zones, so that the own zone is preferred among otherwise
	// equal targets: traffic between zones costs money, and the time hardly differs.
	crossZoneCost = time.Millisecond
	// fullTargetCost is what a full target costs more than an empty one, where both have room.
	fullTargetCost = 10 * time.Millisecond
)

// place selects a target for a request and counts the request there; it returns false if no target has room for it.
func (p *Placer) place(now time.Time, t *Ticket) (Decision, bool) {
	target, reason := p.choose(now, t)
	if target == nil {
		return Decision{}, false
	}
	target.start(now)
	p.snapshot.changes++
	p.recordPlacement(now)
	p.regionSplit.recordSend(target.Region)
	host := p.byName[t.Host]
	p.overflow.count(now, host != nil && target.Region != host.Region)
	return Decision{Target: target, Spec: target.Spec, Reason: reason}, true
}

// starting reports whether targets may still have to announce themselves to a system that has just started.
func (p *Placer) starting(now time.Time) bool {
	return now.Before(p.firstTargetAt.Add(announcePeriod))
}

// awaited reports whether the host of an object may still have to announce itself. Elsewhere the object would run cold
// and evict others whose targets have announced themselves already. A target that was there and left is not awaited.
func (p *Placer) awaited(now time.Time, host string) bool {
	return host != "" && p.starting(now) && !p.announced[host]
}

// host returns the target that keeps the object of a request warm, or nil if there is none or it can't be used.
func (p *Placer) host(now time.Time, t *Ticket) *Target {
	host, ok := p.byName[t.Host]
	if !ok || !p.allowed(host, t) || host.down(now) || !p.awaitsHost(now, t, host) {
		return nil
	}
	return host
}

// hostWithRoom returns the host of a request's object, or nil if it has no room. A request that arrives during the
// object's first run there waits if slots are scarce or a cold run would be late: it would run cold at the same time,
// take the slot time of three other requests, and end no sooner.
func (p *Placer) hostWithRoom(now time.Time, t *Ticket, host *Target) *Target {
	if now.Before(t.WarmAt) && (p.snapshot.slotsScarce || now.Add(t.ColdTime).After(t.SoftDeadline)) {
		return nil
	}
	if !host.usable(now) {
		return nil
	}
	probability := warmProbability(0)
	if t.FirstRun {
		probability = 0
	}
	if _, ok := p.cost(now, host, t, probability); !ok {
		return nil
	}
	return host
}

// choose returns the host of the request's object, or a target for its overflow. Where no host is known, it is the
// target where the request is expected to finish first, of those in regions that may get one more request. The reason is
// a single word for logs; it applies if there is a target.
func (p *Placer) choose(now time.Time, t *Ticket) (target *Target, reason string) {
	if target := p.unheard(now, t); target != nil {
		return target, "unheard"
	}
	if host := p.host(now, t); host != nil {
		if target := p.hostWithRoom(now, t, host); target != nil {
			return target, "host"
		}
		return p.chooseOverflow(now, t, host), "overflow"
	}
	if p.awaited(now, t.Host) {
		return nil, ""
	}
	if target := p.chooseSubstitute(now, t); target != nil {
		return target, "substitute"
	}
	return p.chooseFastest(now, t), "fastest"
}

// chooseFastest returns the target where a request without a host is expected to finish first, or nil.
func (p *Placer) chooseFastest(now time.Time, t *Ticket) *Target {
	hosts := p.hosts.forObject(t.Key)
	candidates := p.targets
	if p.snapshot.slotsScarce && p.anyUsable(now, t, hosts) {
		candidates = hosts
	}
	if best := p.fastest(now, t, candidates, hosts, false); best != nil {
		return best
	}
	return p.fastest(now, t, candidates, hosts, true)
}

// fastest returns the target of some where a request is expected to finish first, or nil if none has room. Targets that
// want no requests of other instances are left out unless avoided is set.
func (p *Placer) fastest(now time.Time, t *Ticket, candidates, hosts []*Target, avoided bool) *Target {
	var best *Target
	var lowest time.Duration
	for _, target := range candidates {
		if !p.allowed(target, t) || !target.usable(now) || !p.regionSplit.allows(now, target.Region) ||
			p.avoided(now, target) != avoided {
			continue
		}
		cost, ok := p.cost(now, target, t, warmProbability(slices.Index(hosts, target)))
		if ok && (best == nil || cost < lowest) {
			best, lowest = target, cost
		}
	}
	return best
}

// allowed reports whether a target has not been tried for a request and is in one of its regions.
func (p *Placer) allowed(target *Target, t *Ticket) bool {
	if slices.Contains(t.Tried, target.Name) {
		return false
	}
	return inRegions(target.Region, t.Regions)
}

// outstanding estimates how many requests are at a target: this instance's own, which it counts exactly, and those of
// other instances. What the target last reported of others loses weight with its age; the rest of the weight goes to
// the average over all targets. The shared load is not used here: all instances would stay away from a target for as
// long as that is out of date, and then all would send to it at once.
func (p *Placer) outstanding(now time.Time, t *Target) float64 {
	weight := gauger.Decay(now.Sub(t.othersAt), p.otherLoad.decay)
	return float64(t.running) + t.others*weight + p.snapshot.othersPerSlot*float64(t.Slots)*(1-weight)
}

// utilisation is the fraction of all slots that is in use.
func (p *Placer) utilisation(now time.Time) float64 {
	outstanding, slots := 0.0, 0.0
	for _, t := range p.targets {
		outstanding += min(float64(t.Slots), p.outstanding(now, t))
		slots += float64(t.Slots)
	}
	return outstanding / max(1, slots)
}

// anyUsable reports whether a request may go to any of the targets now.
func (p *Placer) anyUsable(now time.Time, t *Ticket, list []*Target) bool {
	return slices.ContainsFunc(list, func(target *Target) bool { return p.allowed(target, t) && target.usable(now) })
}

// cost estimates the time to the answer. It returns false if the target has no room for one more request. The
// probability is that of the target having the object warm.
func (p *Placer) cost(now time.Time, target *Target, t *Ticket, probability float64) (time.Duration, bool) {
	serviceTime := time.Duration(probability*float64(t.WarmTime) + (1-probability)*float64(t.ColdTime))
	queue := warmQueue * probability
	slots := float64(target.Slots)
	outstanding := p.outstanding(now, target)
	if t.Priority > p.mostUrgent {
		queue = min(queue, lessUrgentQueue)
	}
	if !t.onTime(now) {
		queue = lateQueue
	}
	if outstanding+1 > slots+queue && target.running >= target.OwnSlots {
		return 0, false
	}
	wait := max(0, outstanding+1-slots) / max(1, slots) * float64(p.typicalServiceTime())
	cost := time.Duration((float64(serviceTime) + wait) * target.slowdown(now))
	if target.Region != p.Region {
		cost += p.InterRegionRTT
	}
	if target.Zone != p.Zone {
		cost += crossZoneCost
	}
	// Of equal targets, prefer the emptier one: requests sent to it collide least with those of other entry instances.
	return cost + time.Duration(outstanding/max(1, slots)*float64(fullTargetCost)), true
}

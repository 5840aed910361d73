// Package placer decides, for one service at one entry instance, which target a request goes to, which requests wait
// for a slot and in which order, and which are refused at once. It is a state machine for use under one lock: Offer,
// Done and Tick return what they decided.
//
// It is made for a load that needs more slots than there are, from callers of several priorities, on targets that work
// faster on objects they handled recently. Each object has a host, the target that is to keep it warm. Requests for the
// object go to the host, wait for it, or overflow to a second target while the host is full. Where no host is known or
// it can't be used, a request goes to the target where it is expected to finish first. Only a few requests may queue at
// a target; the others wait here, where a more urgent one can overtake them. Free slots go first to requests that can
// still be answered on time, the most urgent first.
//
// The files: choice finds the target of a request, queue orders the waiting requests, assigner assigns objects to their
// hosts, room finds the targets with room for them, hosts selects hosts by hash for requests whose host is not known,
// chance estimates how likely those are warm, gate decides whether a request may be sent to a target now, ratelimit keeps
// to the limits that targets name, backoff to the times for which they want no requests, substitute finds the target of
// requests whose host wants none, advice avoids targets that want none of other instances, departed remembers what targets
// said that left the control state, balancer moves objects away from overloaded targets, overflow finds a target for
// requests whose host is full, crowd estimates the load by other instances' requests, spread limits how fast the shares of
// requests that go to each region change, target holds the state of one target.
package placer

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"chervilrail.example/core/gauger"
	"chervilrail.example/core/messenger"
)

const (
	// smoothingDivisor sets the weight of the newest service time, and of the newest gap between placements, in their
	// averages: one eighth.
	smoothingDivisor = 8
	// noTargetRetry is the time after which a caller is asked to retry when a service has no target for it: about as
	// long as a target takes to announce itself.
	noTargetRetry = time.Second
	// limitedRetry is the least such time where the limits and backoffs of all its targets leave no room.
	limitedRetry = time.Second
)

// Ticket is one request that needs a target. Set the exported fields, then Offer it.
type Ticket struct {
	// Key names the requested object, or is empty.
	Key string
	// CallerPriority is the caller's own priority. It takes precedence over Priority, that of the route. In both, 0 is
	// the most urgent.
	CallerPriority int32
	Priority       int32
	// SoftDeadline is the time up to which an answer is on time, Deadline the time after which it is useless.
	SoftDeadline time.Time
	Deadline     time.Time
	// WarmTime and ColdTime are the expected service times at a target that has the object warm, and at any other
	// target.
	WarmTime time.Duration
	ColdTime time.Duration
	// Tried are the targets not to use again.
	Tried []string
	// Regions are those that may serve the request; empty allows all.
	Regions []string
	// Host is the target that keeps the object warm, or empty if none is known. WarmAt is when the object's first run
	// there is expected to end, zero if it has ended.
	Host   string
	WarmAt time.Time
	// FirstRun is set if this is the object's first run at its host.
	FirstRun bool
	// Decided receives the decision on a ticket that has to wait; its buffer must have room for one.
	Decided chan Decision

	arrived       time.Time
	queueDeadline time.Time
}

// Decision is the result for a ticket.
type Decision struct {
	// Target is where to send the request, nil if it is refused. It may only be passed to Done; Spec is a copy of its
	// entry in the control state, which Update may change meanwhile.
	Target *Target
	Spec   Spec
	// Retry is when a refused caller should retry.
	Retry time.Time
	// Reason is a single word for logs: why the request is refused, or how its target was found.
	Reason string
}

// Outcome is how a request at a target ended.
type Outcome struct {
	// ResponseTime is the time to the answer, zero if there was none; ExpectedTime is what was expected.
	ResponseTime time.Duration
	ExpectedTime time.Duration
	// Failed is set if there was no useful answer, Unreachable if the target could not be reached, Withheld if the request
	// was not sent.
	Failed      bool
	Unreachable bool
	Withheld    bool
	// Load is the target's report, if it sent one.
	Load *messenger.Load
}

// Placer decides for one service. Set the exported fields before use.
type Placer struct {
	// Region and Zone are this entry instance's own.
	Region string
	Zone   string
	// InterRegionRTT is the round-trip time to another region.
	InterRegionRTT time.Duration
	// Position returns this instance's position among those that may send to a target with a limit. If it is nil, this is
	// the only one.
	Position Position

	// limited are the targets with a limit; division divides limits, holders if it is nil.
	limited  []*Target
	division divider
	// substitutes chooses for hosts that want no requests, rendezvous if it is nil. departed are targets that left the
	// control state while something held that they had said; refusals counts the refusals for want of room.
	substitutes substitute
	advice      advice
	departed    departed
	refusals    uint64
	// firstTargetAt is when this instance first had targets; announced holds the names of those that it had within
	// announcePeriod from then on.
	firstTargetAt   time.Time
	announced       map[string]bool
	targets         []*Target
	byName          map[string]*Target
	byKey           map[uint32]*Target
	queue           []*Ticket
	meanServiceTime time.Duration
	// placementGap is the smoothed time between two placements while requests waited, as of placementGapAt;
	// lastPlacementAt is when the last placement was made.
	placementGap    time.Duration
	placementGapAt  time.Time
	lastPlacementAt time.Time
	// totalSlots is the number of slots of all targets, slotsPerInstance that divided by the number of entry instances.
	totalSlots       float64
	slotsPerInstance float64
	// mostUrgent is the most urgent priority seen since the control state last changed.
	mostUrgent  int32
	regionSplit regionSplit
	hosts       hosts
	otherLoad   otherLoad
	snapshot    loadSnapshot

	overflow overflow
	assigner assigner
}

// loadSnapshot is the load over all targets at one time, computed once for all decisions made at that time.
type loadSnapshot struct {
	othersPerSlot float64
	// slotsScarce is set if few slots are free, as computed at takenAt; changes is how many requests were placed or
	// ended since.
	slotsScarce bool
	takenAt     time.Time
	changes     float64
}

const (
	// snapshotValidity is how long slotsScarce holds: computing it takes a pass over all targets.
	snapshotValidity = 10 * time.Millisecond
	// snapshotChangeDivisor bounds the changes for which slotsScarce holds: it is recomputed once the number of
	// requests placed or ended reaches a fiftieth of the slots.
	snapshotChangeDivisor = 50
)

// refreshSnapshot updates the load snapshot.
func (p *Placer) refreshSnapshot(now time.Time) {
	p.snapshot.othersPerSlot = p.otherLoad.expected(now)
	if now.Sub(p.snapshot.takenAt) < snapshotValidity && p.snapshot.changes < p.totalSlots/snapshotChangeDivisor {
		return
	}
	p.snapshot.slotsScarce, p.snapshot.takenAt, p.snapshot.changes = p.utilisation(now) > scarceUtilisation, now, 0
}

// Update applies the control state; entries is how many entry instances share the targets. Targets that stay keep their
// state. It returns those that left or restarted while requests of this instance are in flight there.
func (p *Placer) Update(now time.Time, specs []Spec, entries int) []Spec {
	old := p.byName
	p.byName, p.byKey = map[string]*Target{}, map[uint32]*Target{}
	p.targets = nil
	slots := 0.0
	regions := map[string]float64{}
	changed := len(specs) != len(old)
	if p.firstTargetAt.IsZero() && len(specs) > 0 {
		p.firstTargetAt, p.announced = now, map[string]bool{}
	}
	for _, s := range specs {
		t, ok := old[s.Name]
		if !ok || t.Incarnation != s.Incarnation {
			t = p.departed.take(s)
			changed = true
			if !p.firstTargetAt.IsZero() && !p.starting(now) {
				t.joinedAt = now
			}
		} else {
			delete(old, s.Name)
		}
		t.Spec = s
		p.assigner.recordReady(t)
		p.byName[s.Name] = t
		p.byKey[gauger.Key(s.Name)] = t
		if p.starting(now) {
			p.announced[s.Name] = true
		}
		p.targets = append(p.targets, t)
		slots += float64(s.Slots)
		regions[s.Region] += float64(s.Slots)
	}
	p.departed.add(now, old)
	slices.SortFunc(p.targets, func(a, b *Target) int { return cmp.Compare(a.Name, b.Name) })
	p.hosts.reset(p.targets)
	p.assigner.regionShares = initialShares(p.Region, regions)
	p.mostUrgent = math.MaxInt32
	p.totalSlots, p.slotsPerInstance = slots, slots/float64(max(1, entries))
	p.snapshot.takenAt = time.Time{}
	p.updateLimits(now)
	p.regionSplit.update(p.Region, regions)
	p.regionSplit.entries = float64(entries) / float64(max(1, len(regions)))
	if changed {
		p.regionSplit.liftLimit(now)
	}
	return inUse(old)
}

// inUse returns the targets at which requests of this instance are in flight.
func inUse(targets map[string]*Target) []Spec {
	var out []Spec
	for _, t := range targets {
		if t.running > 0 {
			out = append(out, t.Spec)
		}
	}
	return out
}

// ObserveLoads stores the loads of targets as measured by all instances of the region. Readings of unknown targets are
// ignored.
func (p *Placer) ObserveLoads(now time.Time, loads []gauger.Reading) {
	for _, r := range loads {
		if t, ok := p.byKey[r.Target]; ok {
			t.sharedLoad, t.sharedLoadAt = r.PerSlot, now
		}
	}
}

// Offer places a ticket at once, queues it, or refuses it. It returns false if the ticket was queued; its decision then
// comes from a later call of Done or Tick.
func (p *Placer) Offer(now time.Time, t *Ticket) (Decision, bool) {
	t.arrived = now
	p.regionSplit.recordArrival(now)
	p.hosts.setShares(p.regionSplit.shares)
	p.mostUrgent = min(p.mostUrgent, t.Priority)
	// Without any target that may take it, a request would only wait for its deadline.
	if !slices.ContainsFunc(p.targets, func(target *Target) bool { return p.allowed(target, t) }) {
		return Decision{Retry: now.Add(noTargetRetry), Reason: "targets"}, true
	}
	p.refreshSnapshot(now)
	if p.ticketsAhead(now, t) == 0 {
		if decision, ok := p.place(now, t); ok {
			return decision, true
		}
	}
	wait := p.expectedWait(now, t)
	t.queueDeadline = p.queueDeadline(now, t)
	if refusal, hopeless := p.refuseHopeless(now, t); hopeless {
		return refusal, true
	}
	if now.Add(wait).After(t.queueDeadline) {
		return Decision{Retry: p.retryAt(now, wait), Reason: "full"}, true
	}
	p.queue = append(p.queue, t)
	return Decision{}, false
}

// Done ends a request at a target and returns the decisions on waiting tickets that follow from it.
func (p *Placer) Done(now time.Time, t *Target, o Outcome) []Placed {
	t.end(now, o)
	p.snapshot.changes++
	if o.Load != nil {
		p.otherLoad.observe(now, t)
		p.regionSplit.observe(now, t, o.Load)
	}
	if o.Unreachable {
		p.regionSplit.liftLimit(now)
	}
	if o.ResponseTime > 0 {
		p.meanServiceTime += (o.ResponseTime - p.meanServiceTime) / smoothingDivisor
	}
	p.otherLoad.decay = time.Duration(reportDecayFactor * float64(p.typicalServiceTime()))
	return p.Tick(now)
}

// Placed is a decision on a ticket that waited.
type Placed struct {
	Ticket   *Ticket
	Decision Decision
}

// Tick places waiting tickets into free slots and refuses those that may not wait any longer.
func (p *Placer) Tick(now time.Time) []Placed {
	if len(p.queue) == 0 {
		return nil
	}
	p.refreshSnapshot(now)
	sort.SliceStable(p.queue, func(i, j int) bool { return less(now, p.queue[i], p.queue[j]) })
	var out []Placed
	var rest []*Ticket
	for _, t := range p.queue {
		if decision, ok := p.place(now, t); ok {
			out = append(out, Placed{t, decision})
			continue
		}
		if !now.Before(t.queueDeadline) {
			out = append(out, Placed{t, Decision{Retry: p.retryAt(now, p.expectedWait(now, t)), Reason: "waited"}})
			continue
		}
		if refusal, hopeless := p.refuseHopeless(now, t); hopeless {
			out = append(out, Placed{t, refusal})
			continue
		}
		rest = append(rest, t)
	}
	p.queue = rest
	return out
}

// Cancel removes a waiting ticket whose caller no longer waits. It reports whether the ticket was still waiting.
func (p *Placer) Cancel(t *Ticket) bool {
	at := slices.Index(p.queue, t)
	if at < 0 {
		return false
	}
	p.queue = slices.Delete(p.queue, at, at+1)
	return true
}

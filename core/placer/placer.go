// Package placer decides, for one service at one entry instance, which target a request goes to, which requests
// wait for a slot and in which order, and which are refused at once. It is a state machine for use under one lock:
// Offer, Done and Tick return what they decided.
//
// It answers a load that asks for more slots than there are, from callers of several urgencies, of targets that
// work faster on objects they handled lately. Each object has a host, the target that is to keep it warm, and its requests
// go there, wait for it, or go to a second one while it is full. Where no host is known or it can't be used, a request goes
// where it is expected to be done first. Few requests may wait at a target; the others wait here, where a more urgent one
// can overtake them. Room goes first to requests that can still be answered on time, most urgent first.
//
// A file each: choice finds the target of a request, queue orders those that wait, assigner gives objects their hosts, room
// finds the targets for them, hosts names some by hash for requests whose host is not known, chance says how likely those
// are warm, balancer moves objects off targets that have too many, overflow finds a place for requests whose host is full,
// crowd stands in for what is not known of other instances' requests, spread keeps the parts that go to each region from
// jumping, target holds what is known of one.
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
	// smoothing is the weight of the newest service time: an eighth.
	smoothing = 8
	// noTargetRetry is after what a caller is asked back when a service has no target for it: about as long as a target
	// takes to announce itself.
	noTargetRetry = time.Second
)

// Ticket is one request that wants a target. Set the exported fields, then Offer it.
type Ticket struct {
	// Key names the object concerned, or is empty.
	Key string
	// CallerPriority is the caller's own priority, which goes before that of what it asks for; 0 is the most urgent of both.
	CallerPriority int32
	Priority       int32
	// SoftDeadline is until when an answer is on time, Deadline until when it is of use at all.
	SoftDeadline time.Time
	Deadline     time.Time
	// WarmTime and Cold are the expected service times at a target that has the object warm, and at another.
	WarmTime time.Duration
	ColdTime time.Duration
	// Tried are targets not to use again.
	Tried []string
	// Regions that may serve the request; empty allows all.
	Regions []string
	// Host is the target that keeps the object warm, or empty if none is known; WarmAt is when the object's first run
	// there is expected to have ended, zero if it has.
	Host   string
	WarmAt time.Time
	// FirstRun: this is the object's first run at its host.
	FirstRun bool
	// Decided receives the decision on a ticket that has to wait; it needs room for one.
	Decided chan Decision

	arrived time.Time
	giveUp  time.Time
}

// Decision is what happened to a ticket.
type Decision struct {
	// Target is where to send the request, nil if it is refused.
	Target *Target
	// Retry is when a refused caller should come back.
	Retry time.Time
	// Reason is a single word for logs.
	Reason string
}

// Outcome is how a request at a target ended.
type Outcome struct {
	// ResponseTime is the time to the answer, zero if there was none; Usual is what was expected.
	ResponseTime time.Duration
	ExpectedTime time.Duration
	// Failed: no answer of use. Unreachable: the target could not be spoken to.
	Failed      bool
	Unreachable bool
	// Load is the target's report, if it sent one.
	Load *messenger.Load
}

// Placer decides for one service. Set the exported fields before use.
type Placer struct {
	// Region and Zone are this entry instance's own.
	Region string
	Zone   string
	// InterRegionRTT is what it takes to reach another region and come back.
	InterRegionRTT time.Duration

	// firstAt is when the first targets became known, met the names of those known since.
	firstAt time.Time
	met     map[string]bool
	targets []*Target
	byName  map[string]*Target
	byKey   map[uint32]*Target
	queue   []*Ticket
	work    time.Duration
	// gap is the smoothed time between two placements while requests waited, as of gapAt; placedAt is the last one.
	gap      time.Duration
	gapAt    time.Time
	placedAt time.Time
	// slots is how many there are, share how many for each entry instance.
	slots float64
	share float64
	// urgent is the most urgent priority seen since the control state last changed.
	urgent int32
	spread spread
	hosts  hosts
	crowd  crowd
	load   load

	overflow overflow
	assigner assigner
}

// load is what holds for all targets at one moment, worked out once for all decisions of that moment.
type load struct {
	crowd float64
	// scarce: free slots are few. It was worked out at a time, and so many requests were placed or ended since.
	scarce bool
	at     time.Time
	since  float64
}

const (
	// fullHold is how long it holds which part of the slots is taken: that needs a walk over all targets.
	fullHold = 10 * time.Millisecond
	// fullParts: it holds no longer than for requests that take or leave a fiftieth of the slots.
	fullParts = 50
)

// look takes the load of this moment.
func (p *Placer) look(now time.Time) {
	p.load.crowd = p.crowd.expected(now)
	if now.Sub(p.load.at) < fullHold && p.load.since < p.slots/fullParts {
		return
	}
	p.load.scarce, p.load.at, p.load.since = p.full(now) > scarceFrom, now, 0
}

// Update follows the control state; entries is how many entry instances share the targets. Targets that stay keep
// what is known of them. It returns those that get no more requests, or started anew, while requests of this instance are
// there.
func (p *Placer) Update(now time.Time, specs []Spec, entries int) []Spec {
	old := p.byName
	p.byName, p.byKey = map[string]*Target{}, map[uint32]*Target{}
	p.targets = nil
	slots := 0.0
	regions := map[string]float64{}
	changed := len(specs) != len(old)
	if p.firstAt.IsZero() && len(specs) > 0 {
		p.firstAt, p.met = now, map[string]bool{}
	}
	for _, s := range specs {
		t, ok := old[s.Name]
		if !ok || t.Incarnation != s.Incarnation {
			t = newTarget()
			changed = true
			if !p.firstAt.IsZero() && !p.starting(now) {
				t.joinedAt = now
			}
		} else {
			delete(old, s.Name)
		}
		t.Spec = s
		if ready := t.readyAt(); ready.After(p.assigner.newest) {
			p.assigner.newest = ready
		}
		p.byName[s.Name] = t
		p.byKey[gauger.Key(s.Name)] = t
		if p.starting(now) {
			p.met[s.Name] = true
		}
		p.targets = append(p.targets, t)
		slots += float64(s.Slots)
		regions[s.Region] += float64(s.Slots)
	}
	slices.SortFunc(p.targets, func(a, b *Target) int { return cmp.Compare(a.Name, b.Name) })
	p.hosts.reset(p.targets)
	p.assigner.parts = firstShares(p.Region, regions)
	p.urgent = math.MaxInt32
	p.slots, p.share = slots, slots/float64(max(1, entries))
	p.load.at = time.Time{}
	p.spread.follow(p.Region, regions)
	p.spread.entries = float64(entries) / float64(max(1, len(regions)))
	if changed {
		p.spread.disturb(now)
	}
	return inUse(old)
}

// inUse returns those targets at which requests of this instance are.
func inUse(targets map[string]*Target) []Spec {
	var out []Spec
	for _, t := range targets {
		if t.running > 0 {
			out = append(out, t.Spec)
		}
	}
	return out
}

// ObserveLoads takes the loads of targets as all instances of the region saw them.
func (p *Placer) ObserveLoads(now time.Time, loads []gauger.Reading) {
	for _, r := range loads {
		if t, ok := p.byKey[r.Target]; ok {
			t.told, t.toldAt = r.PerSlot, now
		}
	}
}

// Offer places a ticket at once, lets it wait, or refuses it; waiting is reported by false.
func (p *Placer) Offer(now time.Time, t *Ticket) (Decision, bool) {
	t.arrived = now
	p.spread.arrive(now)
	p.hosts.prefer(p.spread.shares)
	p.urgent = min(p.urgent, t.Priority)
	// Without any target that may take it, a request would only wait for its deadline.
	if !slices.ContainsFunc(p.targets, func(target *Target) bool { return p.allowed(target, t) }) {
		return Decision{Retry: now.Add(noTargetRetry), Reason: "targets"}, true
	}
	p.look(now)
	if p.ahead(now, t) == 0 {
		if target := p.place(now, t); target != nil {
			return Decision{Target: target}, true
		}
	}
	wait := p.expectedWait(now, t)
	t.giveUp = p.giveUp(now, t)
	if now.Add(wait).After(t.giveUp) {
		return Decision{Retry: p.retryAt(now, wait), Reason: "full"}, true
	}
	p.queue = append(p.queue, t)
	return Decision{}, false
}

// Done ends a request at a target and returns what is decided in turn.
func (p *Placer) Done(now time.Time, t *Target, o Outcome) []Placed {
	t.end(now, o)
	p.load.since++
	if o.Load != nil {
		p.crowd.see(now, t)
		p.spread.see(now, t, o.Load)
	}
	if o.Unreachable {
		p.spread.disturb(now)
	}
	if o.ResponseTime > 0 {
		p.work += (o.ResponseTime - p.work) / smoothing
	}
	p.crowd.life = time.Duration(reportFade * float64(p.usual()))
	return p.Tick(now)
}

// Placed is a decision on a ticket that waited.
type Placed struct {
	Ticket   *Ticket
	Decision Decision
}

// Tick places waiting tickets into free slots and refuses those whose time is up.
func (p *Placer) Tick(now time.Time) []Placed {
	if len(p.queue) == 0 {
		return nil
	}
	p.look(now)
	sort.SliceStable(p.queue, func(i, j int) bool { return less(now, p.queue[i], p.queue[j]) })
	var out []Placed
	var rest []*Ticket
	for _, t := range p.queue {
		if target := p.place(now, t); target != nil {
			out = append(out, Placed{t, Decision{Target: target}})
			continue
		}
		if !now.Before(t.giveUp) {
			out = append(out, Placed{t, Decision{Retry: p.retryAt(now, p.expectedWait(now, t)), Reason: "waited"}})
			continue
		}
		rest = append(rest, t)
	}
	p.queue = rest
	return out
}

// Cancel takes out a waiting ticket whose caller has gone; it reports whether the ticket still waited.
func (p *Placer) Cancel(t *Ticket) bool {
	at := slices.Index(p.queue, t)
	if at < 0 {
		return false
	}
	p.queue = slices.Delete(p.queue, at, at+1)
	return true
}

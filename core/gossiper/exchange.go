package gossiper

import (
	"time"

	"chervilrail.example/core/gauger"
	"chervilrail.example/core/wire"
)

// maxRecords is the largest number of records in a request, for the changes and for a repair each. A request with all
// records of thousands of targets would take an overloaded controller longer than the sender waits, and be sent again.
const maxRecords = 512

func (g *Gossiper) peer(name string) *peer {
	p, ok := g.peers[name]
	if !ok {
		p = &peer{}
		g.peers[name] = p
	}
	return p
}

// BuildRequest returns the request to send to another controller now. It holds the oldest changes that the controller
// has not acknowledged, and a part of all records while the two digests have differed for longer than repairAfter.
func (g *Gossiper) BuildRequest(now time.Time, name string) *wire.ExchangeRequest {
	g.init()
	p := g.peer(name)
	out := &wire.ExchangeRequest{From: g.Self, Run: g.Run, Digest: g.digest, Region: g.Region}
	changed := g.outgoing.part(p.acked, g.counter, maxRecords, g.lastOutgoing)
	out.Counter, out.Partial = changed.reached, changed.left
	for _, name := range changed.names {
		if g.sends(now, g.statuses[name]) {
			out.Records = g.appendRecord(out.Records, now, name)
		}
	}
	out.Records = append(out.Records, g.repairRecords(now, p)...)
	out.Seen = g.instances.connected(now)
	for _, l := range g.losses {
		if l.direct && l.counter > p.acked {
			out.Losses = append(out.Losses, l.report)
		}
	}
	out.Ratelimits = g.rateLimitsBetween(p.acked, out.GetCounter())
	out.Backoffs = g.backoffsBetween(now, p.acked, out.GetCounter(), true)
	out.Reserved = g.reservedBetween(p.acked, out.GetCounter())
	out.Hosted = g.hosts.counter
	out.Hosts = g.hosts.since(p.ackedHosts, func(m *hostEntry) bool { return m.local })
	if p.region == g.Region {
		out.Loads = gauger.Encode(g.loadTable.Local(p.loadsSentAt))
		p.loadsSentAt = now
	}
	return out
}

// Pending reports whether changes or records of a repair are left to be sent to a controller.
func (g *Gossiper) Pending(name string) bool {
	p := g.peer(name)
	return p.acked < g.marks.Outgoing || p.repair.active
}

// HandleRequest merges the request of another controller and returns the response that acknowledges it.
func (g *Gossiper) HandleRequest(now time.Time, r *wire.ExchangeRequest) *wire.ExchangeResponse {
	g.init()
	for _, record := range r.GetRecords() {
		g.mergeRecord(now, record)
	}
	for _, s := range r.GetSeen() {
		at := now.Add(-time.Duration(s.GetAge()))
		g.recordInstances(g.instances.observe(s.GetNode(), at, false, g.counter), stops(s.GetNode()), false)
	}
	g.ReportLosses(now, r.GetLosses(), false)
	g.mergeRateLimits(r.GetRatelimits(), false)
	g.mergeBackoffs(now, r.GetBackoffs(), false)
	for _, record := range r.GetReserved() {
		g.mergeReserved(now, record, false)
	}
	g.mergeHosts(r.GetHosts(), false)
	g.loadTable.Record(now, gauger.Decode(r.GetLoads()), false)
	p := g.peer(r.GetFrom())
	p.region = r.GetRegion()
	p.recordCurrency(now, r.GetCurrent())
	if !r.GetPartial() {
		g.compare(now, p, r.GetDigest())
	}
	return &wire.ExchangeResponse{Run: r.GetRun(), Counter: r.GetCounter(), Answerer: g.Run, Hosted: r.GetHosted()}
}

// mergeRecord merges a record that another controller sent. If it is newer, the target no longer counts as announcing
// itself to this controller.
func (g *Gossiper) mergeRecord(now time.Time, record *wire.Record) {
	old, known := g.targets.Get(record.GetName())
	if !g.targets.Merge(now, record) {
		return
	}
	m := g.status(record.GetName())
	m.direct = false
	if g.hasLeft(record.GetName()) {
		// The controller that received the leave may have acknowledged it and died before it told all others.
		m.relayUntil = now.Add(relayTime)
	}
	m.coldEnd = now.Add(time.Duration(record.GetCold()))
	if !known || differ(old, record) {
		g.recordChange(now, record.GetName())
	}
}

// compare records whether another controller's digest differs from this controller's, and since when.
func (g *Gossiper) compare(now time.Time, p *peer, digest uint64) {
	differs := digest != g.digest
	if differs && !p.differs {
		p.differsSince = now
	}
	p.differs = differs
	if !differs {
		p.repair = repair{}
	}
}

// HandleResponse processes another controller's response to a request that was sent at a given time. A changed run
// number means that the controller has restarted and lost its state, so everything is sent to it again.
func (g *Gossiper) HandleResponse(sent time.Time, name string, r *wire.ExchangeResponse) {
	p := g.peer(name)
	if r.GetRun() != g.Run {
		return
	}
	if p.run != r.GetAnswerer() {
		firstContact := p.run == 0 && p.acked == 0
		p.run = r.GetAnswerer()
		p.acked, p.ackedHosts, p.repair = 0, 0, repair{}
		if !firstContact {
			return
		}
	}
	p.acked = max(p.acked, r.GetCounter())
	p.ackedHosts = max(p.ackedHosts, r.GetHosted())
	p.ackedAt = sent
	p.repair.acknowledge(sent)
}

// HasAcknowledged reports whether a controller has acknowledged all changes up to a counter.
func (g *Gossiper) HasAcknowledged(name string, counter uint64) bool {
	return name == g.Self || g.peers[name] != nil && g.peers[name].acked >= counter
}

// ReachableIn reports whether a controller is in a region and has answered an exchange within reachableTimeout.
func (g *Gossiper) ReachableIn(now time.Time, name, region string) bool {
	if name == g.Self {
		return region == g.Region
	}
	return g.Reachable(now, name) && g.peers[name].region == region
}

// Reachable reports whether a controller has answered an exchange within reachableTimeout.
func (g *Gossiper) Reachable(now time.Time, name string) bool {
	return name == g.Self || g.peers[name] != nil && now.Sub(g.peers[name].ackedAt) < reachableTimeout
}

// recordCurrency records whether a controller reports that its routing state is current.
func (p *peer) recordCurrency(now time.Time, current bool) {
	switch {
	case !current:
		p.currentAt, p.currentSince = time.Time{}, time.Time{}
		return
	case now.Sub(p.currentAt) >= reachableTimeout:
		p.currentSince = now
	}
	p.currentAt = now
}

// OtherIsCurrent reports whether a controller that can be reached has reported that its routing state is current, from a
// given time until lately.
func (g *Gossiper) OtherIsCurrent(since, now time.Time) bool {
	for name, p := range g.peers {
		current := now.Sub(p.currentAt) < reachableTimeout && !p.currentSince.After(since)
		if current && g.Reachable(now, name) {
			return true
		}
	}
	return false
}

// UpdateLoads merges the loads that targets have reported to entry instances.
func (g *Gossiper) UpdateLoads(now time.Time, loads *wire.Loads) {
	g.loadTable.Record(now, gauger.Decode(loads), true)
}

// LoadsSince returns the loads that changed after a counter, and the current counter of load changes.
func (g *Gossiper) LoadsSince(counter uint64) (*wire.Loads, uint64) {
	return gauger.Encode(g.loadTable.Since(counter)), g.loadTable.Counter()
}

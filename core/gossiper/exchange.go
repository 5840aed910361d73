package gossiper

import (
	"time"

	"chervilrail.example/core/aggregator"
	"chervilrail.example/core/wire"
)

func (g *Gossiper) peer(name string) *peer {
	p, ok := g.peers[name]
	if !ok {
		p = &peer{}
		g.peers[name] = p
	}
	return p
}

// BuildRequest returns what to tell another controller now.
func (g *Gossiper) BuildRequest(now time.Time, name string) *wire.ExchangeRequest {
	g.init()
	p := g.peer(name)
	whole := p.differs && now.Sub(p.differAt) > repairAfter
	if whole {
		p.differAt = now
	}
	out := &wire.ExchangeRequest{From: g.Self, Run: g.Run, Counter: g.counter, Digest: g.digest, Region: g.Region}
	if whole {
		out.Records = g.changed(now, 0, func(*mark) bool { return true })
	} else {
		out.Records = g.changed(now, p.acked, func(m *mark) bool { return m.home })
	}
	out.Seen = g.nodes.own(now)
	for _, l := range g.losses {
		if l.home && l.counter > p.acked {
			out.Losses = append(out.Losses, l.report)
		}
	}
	out.Hosted = g.hosts.counter
	out.Hosts = g.hosts.since(p.hosted, func(m *hostMark) bool { return m.own })
	if p.region == g.Region {
		out.Loads = aggregator.Encode(g.gauge.Local(p.loadedAt))
		p.loadedAt = now
	}
	return out
}

// HandleRequest takes what another controller tells.
func (g *Gossiper) HandleRequest(now time.Time, r *wire.ExchangeRequest) *wire.ExchangeResponse {
	g.init()
	for _, record := range r.GetRecords() {
		g.learn(now, record)
	}
	for _, s := range r.GetSeen() {
		g.counter = g.nodes.sight(s.GetNode(), now.Add(-time.Duration(s.GetAge())), false, g.counter)
	}
	g.ReportLosses(now, r.GetLosses(), false)
	g.settle(r.GetHosts(), false)
	g.gauge.Record(now, aggregator.Decode(r.GetLoads()), false)
	p := g.peer(r.GetFrom())
	p.region = r.GetRegion()
	g.compare(now, p, r.GetDigest())
	return &wire.ExchangeResponse{Run: r.GetRun(), Counter: r.GetCounter(), Answerer: g.Run, Hosted: r.GetHosted()}
}

func (g *Gossiper) learn(now time.Time, record *wire.Record) {
	old, known := g.targets.Get(record.GetName())
	if !g.targets.Merge(now, record) {
		return
	}
	m := g.mark(record.GetName())
	m.home = false
	m.coldEnd = now.Add(time.Duration(record.GetCold()))
	if !known || differ(old, record) {
		g.change(record.GetName())
	}
}

func (g *Gossiper) compare(now time.Time, p *peer, digest uint64) {
	differs := digest != g.digest
	if differs && !p.differs {
		p.differAt = now
	}
	p.differs = differs
}

// HandleResponse notes another controller's answer to an exchange that was sent at a time. A new run of it has forgotten
// everything, so it is told everything again.
func (g *Gossiper) HandleResponse(sent time.Time, name string, r *wire.ExchangeResponse) {
	p := g.peer(name)
	if r.GetRun() != g.Run {
		return
	}
	if p.run != r.GetAnswerer() {
		fresh := p.run == 0 && p.acked == 0
		p.run = r.GetAnswerer()
		p.acked, p.hosted = 0, 0
		if !fresh {
			return
		}
	}
	p.acked = max(p.acked, r.GetCounter())
	p.hosted = max(p.hosted, r.GetHosted())
	p.ackedAt = sent
}

// HasAcknowledged reports whether a controller has acknowledged everything up to a counter.
func (g *Gossiper) HasAcknowledged(name string, counter uint64) bool {
	return name == g.Self || g.peers[name] != nil && g.peers[name].acked >= counter
}

// ReachableIn reports whether a controller is in a region and answered an exchange lately.
func (g *Gossiper) ReachableIn(now time.Time, name, region string) bool {
	if name == g.Self {
		return region == g.Region
	}
	return g.Reachable(now, name) && g.peers[name].region == region
}

// Reachable reports whether a controller answered an exchange lately.
func (g *Gossiper) Reachable(now time.Time, name string) bool {
	return name == g.Self || g.peers[name] != nil && now.Sub(g.peers[name].ackedAt) < linkLife
}

// UpdateLoads takes what entry instances were told by targets.
func (g *Gossiper) UpdateLoads(now time.Time, loads *wire.Loads) {
	g.gauge.Record(now, aggregator.Decode(loads), true)
}

// LoadsSince returns the loads that changed after a count, and the count of changes so far.
func (g *Gossiper) LoadsSince(counter uint64) (*wire.Loads, uint64) {
	return aggregator.Encode(g.gauge.Since(counter)), g.gauge.Counter()
}

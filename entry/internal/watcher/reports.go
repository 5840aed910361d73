package watcher

import (
	"maps"
	"slices"
	"sync"
	"time"

	"chervilrail.example/core/gossiper"
	"chervilrail.example/core/wire"
)

const (
	// maxLosses bounds the losses that are pending; the oldest are dropped.
	maxLosses = 256
	// maxHosts bounds the hosts that are pending; the oldest are dropped.
	maxHosts = 4096
	// maxBackoffs bounds the targets whose backoffs are pending; further ones are not reported.
	maxBackoffs = 1024
	// maxLeaves bounds the leaves that are pending; the oldest are dropped.
	maxLeaves = 1024
)

// pendingReports holds what this instance has to tell the controllers. The zero value is ready; it is safe for
// concurrent use.
type pendingReports struct {
	mu sync.Mutex
	reports
}

// reports is the content of one call. Limits and backoffs are held by the target.
type reports struct {
	losses   []*wire.Loss
	hosts    []*wire.Host
	limits   map[string]*wire.RateLimit
	backoffs map[string]pendingBackoff
	leaves   []*wire.Leave
}

// pendingBackoff is until when an incarnation of a target wants no requests of this instance.
type pendingBackoff struct {
	incarnation uint64
	until       time.Time
}

// request returns the call that reports all.
func (r *reports) request(now time.Time) *wire.TellRequest {
	out := &wire.TellRequest{
		Losses: r.losses, Hosts: r.hosts, Ratelimits: slices.Collect(maps.Values(r.limits)), Leaves: r.leaves,
	}
	for target, b := range r.backoffs {
		out.Backoffs = append(out.Backoffs, &wire.Backoff{
			Target: target, Incarnation: b.incarnation, Remaining: int64(b.until.Sub(now)),
		})
	}
	return out
}

func (r *reports) count() int {
	return len(r.losses) + len(r.hosts) + len(r.limits) + len(r.backoffs) + len(r.leaves)
}

// take removes and returns all that is pending.
func (p *pendingReports) take() reports {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.reports
	p.reports = reports{}
	return out
}

// restore queues reports again that could not be sent.
func (p *pendingReports) restore(r reports) {
	p.addLosses(r.losses...)
	p.addHosts(r.hosts...)
	p.addLimits(slices.Collect(maps.Values(r.limits))...)
	p.addLeaves(r.leaves...)
	for target, b := range r.backoffs {
		p.addBackoff(target, b)
	}
}

func (p *pendingReports) addLosses(losses ...*wire.Loss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses = append(p.losses, losses...)
	if excess := len(p.losses) - maxLosses; excess > 0 {
		p.losses = p.losses[excess:]
	}
}

func (p *pendingReports) addHosts(hosts ...*wire.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, hosts...)
	if excess := len(p.hosts) - maxHosts; excess > 0 {
		p.hosts = p.hosts[excess:]
	}
}

func (p *pendingReports) addLeaves(leaves ...*wire.Leave) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaves = append(p.leaves, leaves...)
	if excess := len(p.leaves) - maxLeaves; excess > 0 {
		p.leaves = p.leaves[excess:]
	}
}

// addLimits queues limits; of several of one target the one that supersedes the others is kept.
func (p *pendingReports) addLimits(limits ...*wire.RateLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limits == nil {
		p.limits = map[string]*wire.RateLimit{}
	}
	for _, l := range limits {
		if old, ok := p.limits[l.GetTarget()]; !ok || gossiper.RateLimit(l).Supersedes(gossiper.RateLimit(old)) {
			p.limits[l.GetTarget()] = l
		}
	}
}

// addBackoff queues a backoff; of several of one target the latest incarnation counts, then the latest end.
func (p *pendingReports) addBackoff(target string, b pendingBackoff) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.backoffs == nil {
		p.backoffs = map[string]pendingBackoff{}
	}
	old, known := p.backoffs[target]
	superseded := known && (old.incarnation > b.incarnation || old.incarnation == b.incarnation && old.until.After(b.until))
	if superseded || !known && len(p.backoffs) >= maxBackoffs {
		return
	}
	p.backoffs[target] = b
}

package dispatcher

import (
	"sync"
	"time"

	"chervilrail.example/core/aggregator"
)

const (
	// overdueParts: a request is overdue a quarter of a cold run after that should have ended.
	overdueParts = 4
	// overdueAgain is how often an overdue request is told of.
	overdueAgain = 500 * time.Millisecond
)

// overdue watches requests at targets. It answers the load in which targets get many times slower: they send no reports, for
// they do not answer, and requests go on to be sent there until the first ones are cut off. By Little's law, a request that has
// been at a target for a time shows as many requests per slot as runs would fit into that time. The zero value is ready.
type overdue struct {
	mu      sync.Mutex
	running map[*stay]bool
}

// stay is one request at a target.
type stay struct {
	target  string
	started time.Time
	// warm is how long a run takes there, tellAt when the request is next told of.
	warm   time.Duration
	tellAt time.Time
}

// begin notes a request that is sent to a target now.
func (o *overdue) begin(now time.Time, target string, warm, cold time.Duration) *stay {
	s := &stay{target: target, started: now, warm: max(1, warm), tellAt: now.Add(cold + cold/overdueParts)}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running == nil {
		o.running = map[*stay]bool{}
	}
	o.running[s] = true
	return s
}

func (o *overdue) end(s *stay) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running, s)
}

// due returns what the requests show that are overdue.
func (o *overdue) due(now time.Time) []aggregator.Reading {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []aggregator.Reading
	for s := range o.running {
		if now.Before(s.tellAt) {
			continue
		}
		s.tellAt = now.Add(overdueAgain)
		out = append(out, aggregator.Reading{
			Target: aggregator.Key(s.target), PerSlot: float64(now.Sub(s.started)) / float64(s.warm),
		})
	}
	return out
}

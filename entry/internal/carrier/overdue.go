package carrier

import (
	"sync"
	"time"

	"chervilrail.example/core/gauger"
)

const (
	// overdueMarginDivisor: a request is overdue once it has taken 1/overdueMarginDivisor longer than a cold run is
	// expected to take.
	overdueMarginDivisor = 4
	// overdueReportInterval is how often an overdue request is reported.
	overdueReportInterval = 500 * time.Millisecond
)

// overdueRequests tracks the requests in flight at targets. It guards against targets that become many times slower:
// they do not answer, so they send no load reports, and requests would be sent there until the first ones reach their
// deadlines. By Little's law, a request that has been in flight for a time indicates as many requests per slot as runs
// would fit into that time. The zero value is ready.
type overdueRequests struct {
	mu      sync.Mutex
	running map[*runningRequest]bool
}

// runningRequest is one request in flight at a target.
type runningRequest struct {
	target  string
	started time.Time
	// warm is how long a warm run is expected to take, reportAt when the request is next reported as overdue.
	warm     time.Duration
	reportAt time.Time
}

// begin tracks a request that is sent to a target now; warm and cold are the expected times of a run.
func (o *overdueRequests) begin(now time.Time, target string, warm, cold time.Duration) *runningRequest {
	request := &runningRequest{
		target: target, started: now, warm: max(1, warm), reportAt: now.Add(cold + cold/overdueMarginDivisor),
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running == nil {
		o.running = map[*runningRequest]bool{}
	}
	o.running[request] = true
	return request
}

func (o *overdueRequests) end(request *runningRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running, request)
}

// due returns the loads that overdue requests indicate.
func (o *overdueRequests) due(now time.Time) []gauger.Reading {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []gauger.Reading
	for s := range o.running {
		if now.Before(s.reportAt) {
			continue
		}
		s.reportAt = now.Add(overdueReportInterval)
		out = append(out, gauger.Reading{
			Target: gauger.Key(s.target), PerSlot: float64(now.Sub(s.started)) / float64(s.warm),
		})
	}
	return out
}

package consenter

import (
	"time"

	"chervilrail.example/core/wire"
)

// Summary holds what metrics and health checks read without entering the control goroutine.
type Summary struct {
	Leads           bool
	Leader          string
	CatalogueNumber uint64
	Commit          uint64
	Claims          int
	Term            uint64
	EntryInstances  int
	At              time.Time
	// Confirmed is the newest time for which the applied state is known to have been the newest of the group.
	Confirmed time.Time
	Limits    []*wire.LimitStatus
}

// Summary returns the newest summary, or nil before the first.
func (c *Consenter) Summary() *Summary { return c.summary.Load() }

// Confirmed returns the newest time for which the routing state is known to have been the newest of the group, or zero.
// It holds for what Routing returns afterwards.
func (c *Consenter) Confirmed() time.Time {
	if s := c.Summary(); s != nil {
		return s.Confirmed
	}
	return time.Time{}
}

func (c *Consenter) summarise(now time.Time) {
	if last := c.summary.Load(); last != nil && now.Sub(last.At) < tickEvery {
		return
	}
	s := &Summary{
		Leads:           c.leads(now),
		Leader:          c.replica.LeaderMember().GetName(),
		CatalogueNumber: c.state.CatalogueNumber(),
		Commit:          c.committed,
		Claims:          c.state.Ledger.Count(),
		Term:            c.replica.Term(),
		EntryInstances:  c.roster.count(now),
		At:              now,
		Confirmed:       c.replica.ConfirmedAt(),
	}
	if s.Leads {
		s.Limits = c.limitStatus(now)
	}
	c.summary.Store(s)
}

func (c *Consenter) limitStatus(now time.Time) []*wire.LimitStatus {
	var out []*wire.LimitStatus
	for _, l := range c.limits {
		out = append(out, &wire.LimitStatus{
			Resource:    l.Resource,
			Cap:         l.Cap,
			Outstanding: c.grants.Outstanding(now, l.Resource),
		})
	}
	return out
}

// leads reports whether this controller leads and its lease, which a quorum confirmed, has not ended.
func (c *Consenter) leads(now time.Time) bool {
	return now.Before(c.replica.LeaseDeadline(now))
}

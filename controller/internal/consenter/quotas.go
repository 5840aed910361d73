package consenter

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/quoter"
	"chervilrail.example/core/wire"
)

const (
	// quotaLease is how long parts of quotas stay valid while no controller can be reached. It outlasts a change of
	// leader and most network partitions; the parts of an entry instance that is lost permanently are unavailable for
	// as long.
	quotaLease = 20 * time.Second
	// pruneEvery is the interval at which entry instances that are lost permanently are removed as holders, and the
	// least time between two proposals to list the same one.
	pruneEvery = time.Second
	// stretchEvery is the least time between two proposals to stretch organisations, so that one proposal covers many.
	stretchEvery = 50 * time.Millisecond
)

// quotas holds the allotment of organisations' quotas while this controller leads. An organisation is stretched while
// the parts of its quota may add up to the whole quota.
type quotas struct {
	allotter *quoter.Allotter
	// applied is the term of the last applied entry. Until it is the leader's own term, the leader may not have applied
	// all earlier changes of the holders.
	applied   uint64
	plan      *wire.Plan
	holders   []*wire.QuotaHolder
	stretched []string
	// proposedAt is when this leader last proposed to list an entry instance as a holder, by name.
	proposedAt map[string]time.Time
	pruneAt    time.Time
	// stretchAt is when the next proposal to stretch organisations may be made.
	stretchAt time.Time
}

// start creates a new allotter for the current term.
func (q *quotas) start(c *Consenter, now time.Time) {
	q.allotter = &quoter.Allotter{
		Tolerance: c.Quotas, Term: c.replica.Term(), ElectedAt: now, Lease: quotaLease, Holdoff: c.Timing.Election,
	}
	q.proposedAt = map[string]time.Time{}
	q.update(c.state.Plan(), c.state.Holders(), c.state.Stretched())
}

func (q *quotas) update(plan *wire.Plan, holders []*wire.QuotaHolder, stretched []string) {
	q.plan, q.holders, q.stretched = plan, holders, stretched
	q.allotter.Update(plan, holders, stretched)
}

// syncQuotas passes changes of the replicated state to the allotter.
func (c *Consenter) syncQuotas(now time.Time) {
	q := &c.quotas
	if q.allotter == nil {
		return
	}
	if q.allotter.Term != c.replica.Term() {
		q.start(c, now)
	}
	plan, holders, stretched := c.state.Plan(), c.state.Holders(), c.state.Stretched()
	if plan != q.plan || !slices.Equal(holders, q.holders) || !slices.Equal(stretched, q.stretched) {
		q.update(plan, holders, stretched)
	}
	if c.leads(now) {
		c.proposeQuotaChanges(now)
	}
}

// proposeQuotaChanges proposes the changes that have to be replicated before the allotter may rely on them.
func (c *Consenter) proposeQuotaChanges(now time.Time) {
	q := &c.quotas
	if names := q.allotter.ToStretch(); len(names) > 0 && !now.Before(q.stretchAt) {
		q.stretchAt = now.Add(stretchEvery)
		c.proposeOwn(&wire.Command{Stretch: &wire.StretchChange{Organisations: names, On: true}})
	}
	if now.Before(q.pruneAt) {
		return
	}
	q.pruneAt = now.Add(pruneEvery)
	for _, h := range q.allotter.Expired(now) {
		c.proposeOwn(&wire.Command{Holder: &wire.HolderChange{Holder: h, Gone: true}})
	}
	if names := q.allotter.ToRelax(); len(names) > 0 {
		c.proposeOwn(&wire.Command{Stretch: &wire.StretchChange{Organisations: names}})
	}
}

// proposeOwn proposes a command for whose result no caller waits; if it is lost, it is proposed again.
func (c *Consenter) proposeOwn(command *wire.Command) {
	data, err := proto.Marshal(command)
	if err == nil {
		_, _, err = c.replica.Propose(data)
	}
	if err != nil {
		_ = level.Warn(c.Logger).Log("msg", "quota command not proposed", "err", err)
	}
}

func (c *Consenter) allot(now time.Time, r *wire.AllotRequest) (*wire.AllotResponse, error) {
	q := &c.quotas
	term := c.replica.Term()
	if !c.leads(now) || q.allotter == nil || q.allotter.Term != term || q.applied != term {
		return nil, c.notLeaderError()
	}
	response, err := q.allotter.Allot(now, r)
	var unlisted *quoter.UnlistedError
	if errors.As(err, &unlisted) {
		c.proposeHolder(now, r.GetHolder())
	}
	return response, err
}

// proposeHolder proposes to list an entry instance as a holder, at most once per pruneEvery until it is listed.
func (c *Consenter) proposeHolder(now time.Time, h *wire.QuotaHolder) {
	if h.GetName() == "" || now.Before(c.quotas.proposedAt[h.GetName()].Add(pruneEvery)) {
		return
	}
	c.quotas.proposedAt[h.GetName()] = now
	c.proposeOwn(&wire.Command{Holder: &wire.HolderChange{Holder: h}})
}

// handleQuotaCommand processes an applied command on quotas.
func (c *Consenter) handleQuotaCommand(now time.Time, term uint64, command *wire.Command, result *wire.Result) {
	if change := command.GetHolder(); change != nil {
		c.handleHolderChange(now, term, change)
	}
	if change := command.GetStretch(); change != nil {
		c.handleStretchChange(now, term, change, result.GetChanged())
	}
}

// handleHolderChange processes an applied change of the holders.
func (c *Consenter) handleHolderChange(now time.Time, term uint64, change *wire.HolderChange) {
	q := &c.quotas
	if q.allotter == nil {
		return
	}
	c.syncQuotas(now)
	if !change.GetGone() && term == c.replica.Term() {
		q.allotter.MarkNew(change.GetHolder())
	}
	_ = level.Info(c.Logger).Log("msg", "holder of quotas", "holder", change.GetHolder().GetName(),
		"incarnation", change.GetHolder().GetIncarnation(), "gone", change.GetGone(), "holders", len(q.holders))
}

// handleStretchChange processes an applied change of the stretched organisations.
func (c *Consenter) handleStretchChange(now time.Time, term uint64, change *wire.StretchChange, changed []string) {
	q := &c.quotas
	if q.allotter == nil {
		return
	}
	c.syncQuotas(now)
	if term == c.replica.Term() {
		q.allotter.ApplyStretch(change, changed)
	}
	_ = level.Info(c.Logger).Log("msg", "quotas stretched", "organisations", len(change.GetOrganisations()),
		"on", change.GetOn(), "changed", len(changed), "stretched", len(q.stretched))
}

// Allot returns the parts of quotas for an entry instance that requests them. Only the leader does so; others return a
// NotLeaderError.
func (c *Consenter) Allot(ctx context.Context, r *wire.AllotRequest) (*wire.AllotResponse, error) {
	var response *wire.AllotResponse
	var err error
	if callErr := c.call(ctx, func(now time.Time) { response, err = c.allot(now, r) }); callErr != nil {
		return nil, callErr
	}
	return response, err
}

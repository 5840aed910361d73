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
	// quotaLease is how long parts of quotas hold while no controller can be reached. It outlasts a change of leader and most
	// cuts; what an entry instance held that is lost for good is missing for as long.
	quotaLease = 20 * time.Second
	// pruneEvery is how often entry instances are looked for that are gone for good.
	pruneEvery = time.Second
	// stretchEvery is the least time between two proposals to stretch organisations, so that one serves many.
	stretchEvery = 50 * time.Millisecond
)

// quotas are the parts of organisations' quotas while this controller leads.
type quotas struct {
	allotter *quoter.Allotter
	// applied is the term of the last applied entry. Before the first one of its own, a leader may not have applied all that
	// was listed before.
	applied   uint64
	plan      *wire.Plan
	holders   []*wire.QuotaHolder
	stretched []string
	// listing holds the entry instances whose listing this leader has proposed, by when.
	listing map[string]time.Time
	pruneAt time.Time
	// stretchAt is when organisations may next be stretched.
	stretchAt time.Time
}

// lead begins to allot anew.
func (q *quotas) lead(c *Consenter, now time.Time) {
	q.allotter = &quoter.Allotter{
		Tolerance: c.Quotas, Term: c.replica.Term(), ElectedAt: now, Lease: quotaLease, Holdoff: c.Timing.Election,
	}
	q.listing = map[string]time.Time{}
	q.follow(c.state.Plan(), c.state.Holders(), c.state.Stretched())
}

func (q *quotas) follow(plan *wire.Plan, holders []*wire.QuotaHolder, stretched []string) {
	q.plan, q.holders, q.stretched = plan, holders, stretched
	q.allotter.Update(plan, holders, stretched)
}

// noticeQuotas follows the replicated state.
func (c *Consenter) noticeQuotas(now time.Time) {
	q := &c.quotas
	if q.allotter == nil {
		return
	}
	if q.allotter.Term != c.replica.Term() {
		q.lead(c, now)
	}
	plan, holders, stretched := c.state.Plan(), c.state.Holders(), c.state.Stretched()
	if plan != q.plan || !slices.Equal(holders, q.holders) || !slices.Equal(stretched, q.stretched) {
		q.follow(plan, holders, stretched)
	}
	if c.leads(now) {
		c.tendQuotas(now)
	}
}

// tendQuotas proposes what has to be replicated before it may be relied on.
func (c *Consenter) tendQuotas(now time.Time) {
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

// proposeOwn proposes a command for whose result nobody waits; if it is lost, it is proposed again.
func (c *Consenter) proposeOwn(command *wire.Command) {
	data, err := proto.Marshal(command)
	if err == nil {
		_, _, err = c.replica.Propose(data)
	}
	if err != nil {
		_ = level.Warn(c.Logger).Log("msg", "command on quotas not proposed", "err", err)
	}
}

func (c *Consenter) allot(now time.Time, r *wire.AllotRequest) (*wire.AllotResponse, error) {
	q := &c.quotas
	term := c.replica.Term()
	if !c.leads(now) || q.allotter == nil || q.allotter.Term != term || q.applied != term {
		return nil, c.leaderError()
	}
	response, err := q.allotter.Allot(now, r)
	var unlisted *quoter.UnlistedError
	if errors.As(err, &unlisted) {
		c.list(now, r.GetHolder())
	}
	return response, err
}

// list proposes an entry instance as a holder, once in a while until it is listed.
func (c *Consenter) list(now time.Time, h *wire.QuotaHolder) {
	if h.GetName() == "" || now.Before(c.quotas.listing[h.GetName()].Add(pruneEvery)) {
		return
	}
	c.quotas.listing[h.GetName()] = now
	c.proposeOwn(&wire.Command{Holder: &wire.HolderChange{Holder: h}})
}

// noteQuotas takes up an applied command on quotas.
func (c *Consenter) noteQuotas(now time.Time, term uint64, command *wire.Command, result *wire.Result) {
	if change := command.GetHolder(); change != nil {
		c.noteHolder(now, term, change)
	}
	if change := command.GetStretch(); change != nil {
		c.noteStretch(now, term, change, result.GetChanged())
	}
}

// noteHolder takes up a listing that was applied.
func (c *Consenter) noteHolder(now time.Time, term uint64, change *wire.HolderChange) {
	q := &c.quotas
	if q.allotter == nil {
		return
	}
	c.noticeQuotas(now)
	if !change.GetGone() && term == c.replica.Term() {
		q.allotter.MarkNew(change.GetHolder())
	}
	_ = level.Info(c.Logger).Log("msg", "holder of quotas", "holder", change.GetHolder().GetName(),
		"incarnation", change.GetHolder().GetIncarnation(), "gone", change.GetGone(), "holders", len(q.holders))
}

// noteStretch takes up a change of the stretched organisations that was applied.
func (c *Consenter) noteStretch(now time.Time, term uint64, change *wire.StretchChange, changed []string) {
	q := &c.quotas
	if q.allotter == nil {
		return
	}
	c.noticeQuotas(now)
	if term == c.replica.Term() {
		q.allotter.ApplyStretch(change, changed)
	}
	_ = level.Info(c.Logger).Log("msg", "quotas stretched", "organisations", len(change.GetOrganisations()),
		"on", change.GetOn(), "changed", len(changed), "stretched", len(q.stretched))
}

// Allot answers an entry instance that asks for parts of quotas.
func (c *Consenter) Allot(ctx context.Context, r *wire.AllotRequest) (*wire.AllotResponse, error) {
	var response *wire.AllotResponse
	var err error
	if fault := c.call(ctx, func(now time.Time) { response, err = c.allot(now, r) }); fault != nil {
		return nil, fault
	}
	return response, err
}

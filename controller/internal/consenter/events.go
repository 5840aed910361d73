package consenter

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/granter"
	"chervilrail.example/core/wire"
)

// event is one input of the control goroutine.
type event interface {
	handle(c *Consenter, now time.Time)
}

type deliverEvent struct {
	messages []*wire.Message
}

func (e deliverEvent) handle(c *Consenter, now time.Time) {
	for _, m := range e.messages {
		c.replica.Step(now, m)
	}
}

type proposeEvent struct {
	command *wire.Command
	reply   chan answer
}

func (e proposeEvent) handle(c *Consenter, now time.Time) {
	if verdict := c.state.AcceptedBefore(e.command.GetPlan()); verdict != nil && c.leads(now) {
		// The whole change would be stored once more each time that it is sent.
		e.reply <- answer{result: &wire.Result{Plan: verdict}}
		return
	}
	e.command.At = now.UnixMilli()
	data, err := proto.Marshal(e.command)
	if err != nil {
		e.reply <- answer{err: err}
		return
	}
	index, term, err := c.replica.Propose(data)
	if err != nil {
		e.reply <- answer{err: c.notLeaderError()}
		return
	}
	c.proposals[index] = &proposal{term: term, reply: e.reply}
}

func (c *Consenter) notLeaderError() *NotLeaderError {
	m := c.replica.LeaderMember()
	return &NotLeaderError{Leader: m.GetName(), Address: m.GetAddress()}
}

// callEvent runs a function in the control goroutine.
type callEvent struct {
	run  func(now time.Time)
	done chan struct{}
}

func (e callEvent) handle(_ *Consenter, now time.Time) {
	e.run(now)
	close(e.done)
}

func (c *Consenter) renew(now time.Time, r *wire.RenewRequest) (*wire.RenewResponse, error) {
	if !c.leads(now) {
		return nil, c.notLeaderError()
	}
	if r.GetGroup() != 0 && r.GetGroup() != c.replica.Group {
		return nil, &WrongGroupError{Want: r.GetGroup(), Have: c.replica.Group}
	}
	instance := r.GetNode()
	id := granter.HolderID{Name: instance.GetName(), Incarnation: instance.GetIncarnation()}
	grants, err := c.grants.Renew(now, id, r.GetSequence(), r.GetHoldings())
	if err != nil {
		return nil, err
	}
	c.roster.renewLease(now, now.Add(c.Lease+c.Lease/leaseMarginDivisor), instance)
	response := &wire.RenewResponse{
		Sequence: r.GetSequence(),
		Group:    c.replica.Group,
		Number:   c.state.CatalogueNumber(),
		Grants:   grants,
		Roster:   c.roster.version,
		Lease:    int64(c.Lease),
	}
	if instance.GetNumber() < c.state.CatalogueNumber() {
		response.Catalogue = c.state.Catalogue()
	}
	if r.GetRoster() != c.roster.version {
		response.Nodes = c.roster.live(now)
	}
	return response, nil
}

func (c *Consenter) status(now time.Time) *wire.StatusResponse {
	out := &wire.StatusResponse{
		Number: c.state.CatalogueNumber(),
		Leader: c.replica.LeaderMember().GetName(),
		Commit: c.committed,
		Claims: uint64(c.state.Ledger.Count()),
		Nodes:  c.roster.all(now),
		Limits: c.limitStatus(now),
		Leads:  c.leads(now),
	}
	out.Settled = out.GetLeads() && now.Sub(c.replica.LeaderSince()) > c.Lease+c.Lease/leaseMarginDivisor
	for _, m := range c.replica.Members() {
		match, recent := c.replica.Match(now, m)
		out.Replicas = append(out.Replicas, &wire.ReplicaStatus{
			Name:        m.GetName(),
			Incarnation: m.GetIncarnation(),
			Address:     m.GetAddress(),
			Voter:       m.GetVoter(),
			Leader:      m.GetName() == out.GetLeader(),
			Match:       match,
			Silent:      !recent,
		})
	}
	return out
}

func (c *Consenter) get(now time.Time) (*wire.GetResponse, error) {
	if !c.leads(now) {
		return nil, c.notLeaderError()
	}
	return &wire.GetResponse{Number: c.state.CatalogueNumber(), Catalogue: c.state.Catalogue()}, nil
}

func (c *Consenter) enqueue(ctx context.Context, e event) error {
	select {
	case c.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return &StalledError{}
	}
}

// Deliver passes messages of other controllers to the control goroutine.
func (c *Consenter) Deliver(ctx context.Context, messages []*wire.Message) error {
	return c.enqueue(ctx, deliverEvent{messages})
}

// Propose runs a command through the replicated log and returns its result. After a NotLeaderError or a
// ProposalReplacedError the command certainly did not run; after an OutcomeUnknownError it may have run or may still
// run.
func (c *Consenter) Propose(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	reply := make(chan answer, 1)
	if err := c.enqueue(ctx, proposeEvent{command, reply}); err != nil {
		return nil, err
	}
	select {
	case a := <-reply:
		return a.result, a.err
	case <-ctx.Done():
		return nil, &OutcomeUnknownError{}
	case <-c.done:
		return nil, &OutcomeUnknownError{}
	}
}

// call runs a function in the control goroutine. After an error the function may still run, so what it writes must not
// be read then.
func (c *Consenter) call(ctx context.Context, run func(now time.Time)) error {
	done := make(chan struct{})
	if err := c.enqueue(ctx, callEvent{run, done}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return &StalledError{}
	}
}

// Renew processes the heartbeat of an entry instance, which renews its lease and its grants. Only the leader does so;
// others return a NotLeaderError. An instance of another group gets a WrongGroupError.
func (c *Consenter) Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewResponse, error) {
	var response *wire.RenewResponse
	var err error
	if callErr := c.call(ctx, func(now time.Time) { response, err = c.renew(now, r) }); callErr != nil {
		return nil, callErr
	}
	return response, err
}

// Status returns the state of the group as this controller knows it, leading or not.
func (c *Consenter) Status(ctx context.Context) (*wire.StatusResponse, error) {
	var response *wire.StatusResponse
	if callErr := c.call(ctx, func(now time.Time) { response = c.status(now) }); callErr != nil {
		return nil, callErr
	}
	return response, nil
}

// Get returns the catalogue in force, read under the leader's lease.
func (c *Consenter) Get(ctx context.Context) (*wire.GetResponse, error) {
	var response *wire.GetResponse
	var err error
	if callErr := c.call(ctx, func(now time.Time) { response, err = c.get(now) }); callErr != nil {
		return nil, callErr
	}
	return response, err
}

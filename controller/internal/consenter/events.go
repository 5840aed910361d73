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
	e.command.At = now.UnixMilli()
	data, err := proto.Marshal(e.command)
	if err != nil {
		e.reply <- answer{err: err}
		return
	}
	index, term, err := c.replica.Propose(data)
	if err != nil {
		e.reply <- answer{err: c.leaderError()}
		return
	}
	c.waiting[index] = &pending{term: term, reply: e.reply}
}

func (c *Consenter) leaderError() *NotLeaderError {
	m := c.replica.LeaderMember()
	return &NotLeaderError{Leader: m.GetName(), Address: m.GetAddress()}
}

// callEvent runs a call in the control goroutine.
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
		return nil, c.leaderError()
	}
	if r.GetGroup() != 0 && r.GetGroup() != c.replica.Group {
		return nil, &WrongGroupError{Want: r.GetGroup(), Have: c.replica.Group}
	}
	node := r.GetNode()
	id := granter.HolderID{Name: node.GetName(), Incarnation: node.GetIncarnation()}
	grants, err := c.grants.Renew(now, id, r.GetSequence(), r.GetHoldings())
	if err != nil {
		return nil, err
	}
	c.roster.note(now, now.Add(c.Lease+c.Lease/leaseMarginParts), node)
	response := &wire.RenewResponse{
		Sequence: r.GetSequence(),
		Group:    c.replica.Group,
		Number:   c.state.Number(),
		Grants:   grants,
		Roster:   c.roster.version,
		Lease:    int64(c.Lease),
	}
	if node.GetNumber() < c.state.Number() {
		response.Catalogue = c.state.Catalogue()
	}
	if r.GetRoster() != c.roster.version {
		response.Nodes = c.roster.live(now)
	}
	return response, nil
}

func (c *Consenter) status(now time.Time) *wire.StatusResponse {
	out := &wire.StatusResponse{
		Number: c.state.Number(),
		Leader: c.replica.LeaderMember().GetName(),
		Commit: c.committed,
		Claims: uint64(c.state.Ledger.Count()),
		Nodes:  c.roster.all(now),
		Limits: c.limitStatus(now),
		Leads:  c.leads(now),
	}
	out.Settled = out.GetLeads() && now.Sub(c.replica.LeadSince()) > c.Lease+c.Lease/leaseMarginParts
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
		return nil, c.leaderError()
	}
	return &wire.GetResponse{Number: c.state.Number(), Catalogue: c.state.Catalogue()}, nil
}

func (c *Consenter) post(ctx context.Context, e event) error {
	select {
	case c.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return &StalledError{}
	}
}

// Deliver takes messages of other controllers.
func (c *Consenter) Deliver(ctx context.Context, messages []*wire.Message) error {
	return c.post(ctx, deliverEvent{messages})
}

// Propose runs a command through the log. A LeaderError says that it certainly did not run; after an
// UnknownError or the end of ctx it may still.
func (c *Consenter) Propose(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	reply := make(chan answer, 1)
	if err := c.post(ctx, proposeEvent{command, reply}); err != nil {
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

// call runs a function in the control goroutine. After an error it may still run; what it writes must not be read then.
func (c *Consenter) call(ctx context.Context, run func(now time.Time)) error {
	done := make(chan struct{})
	if err := c.post(ctx, callEvent{run, done}); err != nil {
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

// Renew answers an entry instance's heartbeat.
func (c *Consenter) Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewResponse, error) {
	var response *wire.RenewResponse
	var err error
	if fault := c.call(ctx, func(now time.Time) { response, err = c.renew(now, r) }); fault != nil {
		return nil, fault
	}
	return response, err
}

// Status describes what this controller knows, leading or not.
func (c *Consenter) Status(ctx context.Context) (*wire.StatusResponse, error) {
	var response *wire.StatusResponse
	if fault := c.call(ctx, func(now time.Time) { response = c.status(now) }); fault != nil {
		return nil, fault
	}
	return response, nil
}

// Get reads the catalogue in force under the read lease.
func (c *Consenter) Get(ctx context.Context) (*wire.GetResponse, error) {
	var response *wire.GetResponse
	var err error
	if fault := c.call(ctx, func(now time.Time) { response, err = c.get(now) }); fault != nil {
		return nil, fault
	}
	return response, err
}

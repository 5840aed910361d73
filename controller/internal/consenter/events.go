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

func (c *Consenter) leaderError() *LeaderError {
	m := c.replica.LeaderMember()
	return &LeaderError{Leader: m.GetName(), Address: m.GetAddress()}
}

type renewAnswer struct {
	response *wire.RenewResponse
	err      error
}

type renewEvent struct {
	request *wire.RenewRequest
	reply   chan renewAnswer
}

func (e renewEvent) handle(c *Consenter, now time.Time) {
	response, err := c.renew(now, e.request)
	e.reply <- renewAnswer{response, err}
}

func (c *Consenter) renew(now time.Time, r *wire.RenewRequest) (*wire.RenewResponse, error) {
	if !c.leads(now) {
		return nil, c.leaderError()
	}
	if r.GetGroup() != 0 && r.GetGroup() != c.replica.Group {
		return nil, &GroupError{Want: r.GetGroup(), Have: c.replica.Group}
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

type statusEvent struct {
	reply chan *wire.StatusResponse
}

func (e statusEvent) handle(c *Consenter, now time.Time) {
	e.reply <- c.status(now)
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

type getEvent struct {
	reply chan getAnswer
}

type getAnswer struct {
	response *wire.GetResponse
	err      error
}

func (e getEvent) handle(c *Consenter, now time.Time) {
	if !c.leads(now) {
		e.reply <- getAnswer{err: c.leaderError()}
		return
	}
	e.reply <- getAnswer{response: &wire.GetResponse{Number: c.state.Number(), Catalogue: c.state.Catalogue()}}
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
		return nil, &UnknownError{}
	case <-c.done:
		return nil, &UnknownError{}
	}
}

// Renew answers an entry instance's heartbeat.
func (c *Consenter) Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewResponse, error) {
	reply := make(chan renewAnswer, 1)
	if err := c.post(ctx, renewEvent{r, reply}); err != nil {
		return nil, err
	}
	select {
	case a := <-reply:
		return a.response, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.done:
		return nil, &StalledError{}
	}
}

// Status describes what this controller knows, leading or not.
func (c *Consenter) Status(ctx context.Context) (*wire.StatusResponse, error) {
	reply := make(chan *wire.StatusResponse, 1)
	if err := c.post(ctx, statusEvent{reply}); err != nil {
		return nil, err
	}
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.done:
		return nil, &StalledError{}
	}
}

// Get reads the catalogue in force under the read lease.
func (c *Consenter) Get(ctx context.Context) (*wire.GetResponse, error) {
	reply := make(chan getAnswer, 1)
	if err := c.post(ctx, getEvent{reply}); err != nil {
		return nil, err
	}
	select {
	case a := <-reply:
		return a.response, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.done:
		return nil, &StalledError{}
	}
}

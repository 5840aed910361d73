// Package consenter is the service that owns a controller's control state. One goroutine feeds the
// replicator, the state machine and the granter; requests reach it as events.
package consenter

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/granter"
	"chervilrail.example/core/keeper"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/replicator"
	"chervilrail.example/core/storer"
	"chervilrail.example/core/wire"
)

const (
	queueLength = 4096
	tickEvery   = 10 * time.Millisecond
	// compactAfter is how many log entries are kept before a snapshot replaces them.
	compactAfter = 8192
)

// Sender carries messages to other controllers without blocking.
type Sender interface {
	Send(address netip.AddrPort, m *wire.Message)
}

// Consenter is the control service. Set the exported fields before Start.
type Consenter struct {
	Folder string
	Member *wire.Member
	Peers  map[string]netip.AddrPort
	Timing replicator.Timing
	Lease  time.Duration
	Sender Sender
	Logger log.Logger
	Fatal  chan<- error

	replica   replicator.Replica
	store     storer.Storer
	state     keeper.Keeper
	grants    granter.Granter
	roster    roster
	waiting   map[uint64]*pending
	committed uint64
	lastRole  replicator.Role
	number    uint64
	limits    []cataloguer.Limit

	events  chan event
	done    chan struct{}
	cancel  context.CancelFunc
	healthy atomic.Pointer[Summary]
}

// Summary is what metrics and health checks read without entering the control goroutine.
type Summary struct {
	Leads   bool
	Leader  string
	Number  uint64
	Commit  uint64
	Claims  int
	Term    uint64
	Entries int
	At      time.Time
	Limits  []*wire.LimitStatus
}

// pending is a proposal whose answer someone waits for.
type pending struct {
	term  uint64
	reply chan<- answer
}

type answer struct {
	result *wire.Result
	err    error
}

// Name implements kernel.Service.
func (c *Consenter) Name() string { return "consensus" }

// Start recovers the state from disk and begins to take part.
func (c *Consenter) Start(context.Context, kernel.Finder) error {
	c.store.Folder = c.Folder
	recovered, err := c.store.Open()
	if err != nil {
		return err
	}
	if err := c.identify(recovered); err != nil {
		return err
	}
	c.recover(time.Now(), recovered)
	if err := c.restore(recovered.Snapshot); err != nil {
		return err
	}
	c.events = make(chan event, queueLength)
	c.done = make(chan struct{})
	c.waiting = map[uint64]*pending{}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.run(ctx)
	return nil
}

// identify gives an empty disk a new incarnation, so that it can never answer for a lost one.
func (c *Consenter) identify(recovered *storer.Recovered) error {
	if recovered.Identity == nil {
		recovered.Identity = &wire.Identity{Self: &wire.Member{
			Name:        c.Member.GetName(),
			Incarnation: rand.Uint64(),
		}}
	}
	stored := recovered.Identity.GetSelf()
	if stored.GetName() != c.Member.GetName() {
		return &IdentityError{Folder: c.Folder, Stored: stored.GetName(), Set: c.Member.GetName()}
	}
	stored.Address = c.Member.GetAddress()
	c.Member = stored
	return c.store.SaveIdentity(recovered.Identity)
}

func (c *Consenter) recover(now time.Time, recovered *storer.Recovered) {
	var names []string
	for name := range c.Peers {
		names = append(names, name)
	}
	c.replica = replicator.Replica{
		Group:  recovered.Identity.GetGroup(),
		Self:   c.Member,
		Timing: c.Timing,
		Random: rand.New(rand.NewPCG(c.Member.GetIncarnation(), uint64(now.UnixNano()))),
		Names:  names,
	}
	c.replica.Start(now, recovered.Vote, recovered.Snapshot, recovered.Entries)
	_ = level.Info(c.Logger).Log("msg", "recovered", "incarnation", c.Member.GetIncarnation(),
		"snapshot", recovered.Snapshot.GetIndex(), "entries", len(recovered.Entries),
		"term", recovered.Vote.GetTerm())
}

func (c *Consenter) restore(snapshot *wire.Snapshot) error {
	if snapshot == nil {
		return nil
	}
	c.committed = snapshot.GetIndex()
	return c.state.Restore(snapshot.GetData())
}

// Stop ends the control goroutine.
func (c *Consenter) Stop(ctx context.Context) error {
	if c.cancel == nil {
		return nil
	}
	c.cancel()
	select {
	case <-c.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	return c.store.Close()
}

// Health implements kernel.Service.
func (c *Consenter) Health() error {
	s := c.Summary()
	if s == nil || time.Since(s.At) > c.Timing.Election {
		return &StalledError{}
	}
	if s.Leader == "" {
		return &LeaderError{}
	}
	return nil
}

// Summary returns the newest summary, or nil before the first.
func (c *Consenter) Summary() *Summary { return c.healthy.Load() }

func (c *Consenter) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.abandon()
			return
		case e := <-c.events:
			e.handle(c, time.Now())
			c.drain()
		case <-ticker.C:
			c.replica.Tick(time.Now())
		}
		if err := c.settle(); err != nil {
			_ = level.Error(c.Logger).Log("msg", "control state can't go on", "err", err)
			c.abandon()
			c.Fatal <- err
			return
		}
	}
}

// drain takes what queued up meanwhile, so that one sync serves many proposals.
func (c *Consenter) drain() {
	for range queueLength {
		select {
		case e := <-c.events:
			e.handle(c, time.Now())
		default:
			return
		}
	}
}

// settle saves, sends and applies until nothing is left to do.
func (c *Consenter) settle() error {
	now := time.Now()
	c.replica.Flush(now)
	for {
		ready := c.replica.Ready()
		if empty(ready) {
			break
		}
		if err := c.save(ready); err != nil {
			return err
		}
		c.dispatch(ready.Messages)
		for _, e := range ready.Commits {
			c.apply(e)
		}
	}
	c.noticeRole(now)
	c.noticeCatalogue()
	c.summarise(now)
	return c.compact()
}

func empty(r replicator.Ready) bool {
	return r.Vote == nil && r.Snapshot == nil && len(r.Entries)+len(r.Messages)+len(r.Commits) == 0
}

func (c *Consenter) save(ready replicator.Ready) error {
	if err := c.saveGroup(); err != nil {
		return err
	}
	if ready.Snapshot != nil {
		if err := c.store.SaveSnapshot(ready.Snapshot, true); err != nil {
			return err
		}
		if err := c.restore(ready.Snapshot); err != nil {
			return err
		}
	}
	if err := c.store.Save(ready.Vote, ready.Entries); err != nil {
		return err
	}
	if n := len(ready.Entries); n > 0 {
		c.replica.Saved(ready.Entries[n-1].GetIndex())
	}
	return nil
}

// saveGroup remembers the group on first contact: a replica that forgot it could join another group's
// log after a restart.
func (c *Consenter) saveGroup() error {
	if c.roster.group == c.replica.Group {
		return nil
	}
	c.roster.group = c.replica.Group
	return c.store.SaveIdentity(&wire.Identity{Group: c.replica.Group, Self: c.Member})
}

func (c *Consenter) dispatch(messages []*wire.Message) {
	for _, m := range messages {
		if m.GetKind() == wire.MessageKind_MESSAGE_JOIN {
			c.broadcast(m)
			continue
		}
		if address, ok := c.address(m.GetTo()); ok {
			c.Sender.Send(address, m)
		}
	}
}

// address prefers the settings, so that a replica which moved to another address is found again.
func (c *Consenter) address(m *wire.Member) (netip.AddrPort, bool) {
	if address, ok := c.Peers[m.GetName()]; ok {
		return address, true
	}
	address, err := netip.ParseAddrPort(m.GetAddress())
	return address, err == nil
}

func (c *Consenter) broadcast(m *wire.Message) {
	for name, address := range c.Peers {
		if name != c.Member.GetName() {
			c.Sender.Send(address, m)
		}
	}
}

func (c *Consenter) apply(e *wire.Entry) {
	c.committed = e.GetIndex()
	var result *wire.Result
	if e.GetKind() == wire.EntryKind_ENTRY_COMMAND {
		command := &wire.Command{}
		if err := proto.Unmarshal(e.GetData(), command); err == nil {
			result = c.state.Apply(command)
			c.logChange(command, result)
		}
	}
	p, ok := c.waiting[e.GetIndex()]
	if !ok {
		return
	}
	delete(c.waiting, e.GetIndex())
	if p.term != e.GetTerm() {
		p.reply <- answer{err: &LostError{}}
		return
	}
	p.reply <- answer{result: result}
}

func (c *Consenter) logChange(command *wire.Command, result *wire.Result) {
	change := command.GetChange()
	if change == nil {
		return
	}
	v := result.GetVerdict()
	_ = level.Info(c.Logger).Log("msg", "change decided", "id", change.GetId(), "number", change.GetNumber(),
		"accepted", v.GetAccepted(), "inforce", v.GetNumber(), "winner", v.GetWinner(), "reason", v.GetReason())
}

// noticeRole acts on a change of leadership. A deposed leader can't know whether its proposals commit,
// so whoever waits is told that the outcome is unknown, and asks again under the same id.
func (c *Consenter) noticeRole(now time.Time) {
	role := c.replica.Role()
	if role == c.lastRole {
		return
	}
	c.lastRole = role
	_ = level.Info(c.Logger).Log("msg", "role", "role", role, "term", c.replica.Term(),
		"leader", c.replica.LeaderMember().GetName())
	if role == replicator.Leader {
		c.grants = granter.Granter{Lease: c.Lease, Since: now}
		c.grants.SetLimits(c.limits)
		c.roster.reset(now)
		return
	}
	c.abandon()
}

func (c *Consenter) abandon() {
	for index, p := range c.waiting {
		delete(c.waiting, index)
		p.reply <- answer{err: &UnknownError{}}
	}
}

func (c *Consenter) noticeCatalogue() {
	if c.state.Number() == c.number {
		return
	}
	c.number = c.state.Number()
	parsed, err := cataloguer.Parse("catalogue", c.state.Catalogue())
	if err != nil {
		_ = level.Error(c.Logger).Log("msg", "catalogue in force can't be read", "number", c.number, "err", err)
		return
	}
	c.limits = parsed.Limits()
	c.grants.SetLimits(c.limits)
}

func (c *Consenter) summarise(now time.Time) {
	if last := c.healthy.Load(); last != nil && now.Sub(last.At) < tickEvery {
		return
	}
	s := &Summary{
		Leads:   c.leads(now),
		Leader:  c.replica.LeaderMember().GetName(),
		Number:  c.state.Number(),
		Commit:  c.committed,
		Claims:  c.state.Ledger.Count(),
		Term:    c.replica.Term(),
		Entries: c.roster.count(now),
		At:      now,
	}
	if s.Leads {
		s.Limits = c.limitStatus(now)
	}
	c.healthy.Store(s)
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

// leads reports whether this controller may answer now: it leads and its quorum confirmed that lately.
func (c *Consenter) leads(now time.Time) bool {
	return now.Before(c.replica.LeaseDeadline(now))
}

func (c *Consenter) compact() error {
	if c.replica.LogLength() < compactAfter || c.committed == 0 {
		return nil
	}
	data, err := c.state.Snapshot()
	if err != nil {
		return err
	}
	return c.store.SaveSnapshot(c.replica.Compact(c.committed, data), false)
}

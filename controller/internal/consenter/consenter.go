// Package consenter is the service that owns a controller's control state. One goroutine drives the replicator, the
// state machine and the granter; requests reach it as events.
package consenter

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/granter"
	"chervilrail.example/core/keeper"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/quoter"
	"chervilrail.example/core/replicator"
	"chervilrail.example/core/storer"
	"chervilrail.example/core/wire"
)

const (
	queueLength = 4096
	tickEvery   = 10 * time.Millisecond
	// latePass is the time between two passes of the control goroutine from which it is logged.
	latePass = 250 * time.Millisecond
	// compactAfter is how many log entries, and compactBytes how many bytes of them, are applied before a snapshot is made
	// at the latest, unless the last snapshot was larger.
	compactAfter = 8192
	compactBytes = 8 << 20
)

// Sender sends messages to other controllers without blocking.
type Sender interface {
	Send(address netip.AddrPort, m *wire.Message)
}

// Consenter is the control service. Set the exported fields before Start.
type Consenter struct {
	Folder string
	Member *wire.Member
	// Peers are the controllers named in the settings, by name.
	Peers map[string]netip.AddrPort
	// MaxVoters is how many controllers vote at most.
	MaxVoters int
	// Bootstrap makes this controller one of the group's founders if its disk is empty: the group then consists of
	// exactly Peers. It may only be set while the whole system starts for the first time, on all founders alike.
	Bootstrap bool
	Timing    replicator.Timing
	Lease     time.Duration
	// Quotas is the tolerance within which organisations' quotas are kept.
	Quotas quoter.Tolerance
	Sender Sender
	// OnRoutingChange is called after the routing state has changed; it must not block.
	OnRoutingChange func()
	// Opener opens the files in Folder to write. If it is nil, the operating system does.
	Opener storer.Opener
	// Observer measures the syncs of the disk, unless it is nil.
	Observer storer.Observer
	Logger   log.Logger
	// Fatal receives the error after which the control goroutine has ended. A disk that takes no more bytes is none.
	Fatal chan<- error

	replica replicator.Replica
	store   storer.Storer
	refusal *refusal
	// opened is set once this run had a disk. If it is empty later, it is a new one and founds no group.
	opened bool
	state  keeper.Keeper
	grants granter.Granter
	roster roster
	// proposals holds the proposals that callers wait for, by log index.
	proposals map[uint64]*proposal
	// committed is the log index of the last applied entry.
	committed       uint64
	lastRole        replicator.Role
	catalogueNumber uint64
	limits          []cataloguer.Limit
	quotas          quotas

	events  chan event
	done    chan struct{}
	cancel  context.CancelFunc
	summary atomic.Pointer[Summary]
	routing atomic.Pointer[Routing]
	// revision is the log index that last changed the routing state.
	revision uint64
}

// proposal is a proposed command whose result a caller waits for.
type proposal struct {
	term  uint64
	reply chan<- answer
}

type answer struct {
	result *wire.Result
	err    error
}

// Name implements kernel.Service.
func (c *Consenter) Name() string { return "consensus" }

// Start recovers the state from disk and starts the control goroutine. While the disk takes no bytes, the controller
// starts without a part in the group.
func (c *Consenter) Start(context.Context, kernel.Finder) error {
	c.store = storer.Storer{Folder: c.Folder, Opener: c.Opener, Observer: c.Observer}
	c.proposals = map[uint64]*proposal{}
	now := time.Now()
	if err := c.open(now, c.store.Open); err != nil && (!storer.Refused(err) || !c.suspend(now, err)) {
		return err
	}
	c.events = make(chan event, queueLength)
	c.done = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.run(ctx)
	return nil
}

// open recovers the state that read finds on the disk.
func (c *Consenter) open(now time.Time, read func() (*storer.Recovered, error)) error {
	recovered, err := read()
	if err != nil {
		return err
	}
	if !c.opened {
		if err := c.bootstrap(recovered); err != nil {
			return err
		}
	}
	if err := c.ensureIdentity(recovered); err != nil {
		return err
	}
	c.opened = true
	c.recover(now, recovered)
	c.state, c.committed, c.revision, c.catalogueNumber = keeper.Keeper{}, 0, 0, 0
	return c.restore(recovered.Snapshot)
}

// ensureIdentity gives an empty disk a new incarnation, so that it can never answer for a lost disk. It returns an
// IdentityError if the data folder belongs to another replica.
func (c *Consenter) ensureIdentity(recovered *storer.Recovered) error {
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
	c.replica = replicator.Replica{
		Group:     recovered.Identity.GetGroup(),
		Self:      c.Member,
		Run:       rand.Uint64() | 1,
		Timing:    c.Timing,
		Random:    rand.New(rand.NewPCG(c.Member.GetIncarnation(), uint64(now.UnixNano()))),
		MaxVoters: c.MaxVoters,
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
	c.revision = snapshot.GetIndex()
	return c.state.Restore(snapshot.GetData())
}

// Stop ends the control goroutine and closes the store.
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

// Health implements kernel.Service. It fails if the control goroutine has not run for an election timeout, or if no
// leader is known.
func (c *Consenter) Health() error {
	s := c.Summary()
	if s == nil || time.Since(s.At) > c.Timing.Election {
		return &StalledError{}
	}
	if s.Leader == "" {
		return &NotLeaderError{}
	}
	return nil
}

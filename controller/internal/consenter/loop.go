package consenter

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/replicator"
	"chervilrail.example/core/wire"
)

func (c *Consenter) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			c.failProposals()
			return
		case e := <-c.events:
			e.handle(c, time.Now())
			c.drain()
		case <-ticker.C:
			c.replica.Tick(time.Now())
		}
		if err := c.process(time.Now()); err != nil {
			_ = level.Error(c.Logger).Log("msg", "control goroutine failed", "err", err)
			c.failProposals()
			c.Fatal <- err
			return
		}
		last = c.logLatePass(last)
	}
}

// logLatePass logs a pass of the control goroutine that ends long after the last one, and returns when it ended. Without a
// line of a slow sync beside it, the goroutine lacked processor time.
func (c *Consenter) logLatePass(last time.Time) time.Time {
	now := time.Now()
	if took := now.Sub(last); took >= latePass {
		_ = level.Warn(c.Logger).Log("msg", "control goroutine late", "took", took, "role", c.replica.Role())
	}
	return now
}

// process carries out the replica's work, or, while the disk takes no bytes, tries to take part in the group again.
func (c *Consenter) process(now time.Time) error {
	var err error
	if c.refusal != nil {
		err = c.resume(now)
	} else {
		err = c.processReady(now)
	}
	if err != nil && !c.suspend(now, err) {
		return err
	}
	return nil
}

// drain handles the events that have queued up, so that one sync to disk serves many proposals.
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

// processReady saves, sends and applies until the replica has no work left, and then updates what depends on its state.
func (c *Consenter) processReady(now time.Time) error {
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
	c.handleRoleChange(now)
	c.updateLimits()
	c.syncQuotas(now)
	c.publishRouting()
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
		c.replica.MarkSaved(ready.Entries[n-1].GetIndex())
	}
	return nil
}

// saveGroup saves the group's id once the replica has learned it. Otherwise, a replica could join another group's log
// after a restart.
func (c *Consenter) saveGroup() error {
	if c.roster.group == c.replica.Group {
		return nil
	}
	c.roster.group = c.replica.Group
	return c.store.SaveIdentity(&wire.Identity{Group: c.replica.Group, Self: c.Member})
}

func (c *Consenter) dispatch(messages []*wire.Message) {
	for _, m := range messages {
		if m.GetKind() == wire.MessageKind_MESSAGE_JOIN && m.GetTo() == nil {
			c.broadcast(m)
			continue
		}
		if address, ok := c.address(m.GetTo()); ok {
			c.Sender.Send(address, m)
		}
	}
}

// address returns the address of a replica. It prefers the one in the settings, so that a replica that moved to another
// address is reachable again.
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

// compact makes a snapshot once the applied entries since the last one weigh more than it, and at least compactBytes, or
// are many. The log then takes at most about as many bytes again as the state, and so do snapshots of what is written.
func (c *Consenter) compact() error {
	entries, size := c.replica.SinceSnapshot()
	if entries < compactAfter && size < max(compactBytes, c.replica.SnapshotSize()) {
		return nil
	}
	data, err := c.state.Snapshot()
	if err != nil {
		return err
	}
	return c.store.SaveSnapshot(c.replica.Compact(c.committed, data), false)
}

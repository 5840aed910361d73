package consenter

import (
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/storer"
)

// resumeInterval is the interval at which a controller tries whether its disk takes bytes again.
const resumeInterval = 500 * time.Millisecond

// refusal is the state of a controller whose disk takes no bytes, because it is full or faulty. Without a disk it can
// neither vote nor acknowledge, but it goes on answering with the state that it has, and takes part again with what is
// durable. If the process ended instead, it would be started again and end again, until nobody starts it any more.
type refusal struct {
	since    time.Time
	resumeAt time.Time
}

// suspend ends this controller's part in the group after an error, and reports whether it did: only if a file could not
// be written.
func (c *Consenter) suspend(now time.Time, err error) bool {
	var file *storer.FileError
	var damage *storer.DamageError
	if !errors.As(err, &file) || errors.As(err, &damage) {
		return false
	}
	if c.refusal == nil {
		c.refusal = &refusal{since: now}
		_ = level.Error(c.Logger).Log("msg", "disk lost", "role", c.replica.Role(), "commit", c.committed, "err", err)
	}
	c.refusal.resumeAt = now.Add(resumeInterval)
	c.replica.Suspend()
	c.failProposals()
	c.publish(now)
	return true
}

// resume takes part in the group again if it is time to try and the disk takes bytes.
func (c *Consenter) resume(now time.Time) error {
	if now.Before(c.refusal.resumeAt) {
		c.summarise(now)
		return nil
	}
	if err := c.open(now, c.store.Reopen); err != nil {
		return err
	}
	_ = level.Info(c.Logger).Log("msg", "disk back", "took", now.Sub(c.refusal.since), "commit", c.replica.Committed())
	c.refusal = nil
	return nil
}

// publish makes the state of a suspended replica visible.
func (c *Consenter) publish(now time.Time) {
	c.handleRoleChange(now)
	c.publishRouting()
	c.summarise(now)
}

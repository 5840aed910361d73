package exchanger

import (
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/wire"
)

// saveInterval is the minimum time between two writes of the hosts. A power failure loses the hosts reported since the
// last write, which costs one slow run for each of their objects.
const saveInterval = time.Second

// hostsDelay is how long changed hosts are batched before entry instances are notified. The old host still has its
// object warm, so notifying sooner would only cost more calls.
const hostsDelay = 250 * time.Millisecond

// scheduleHostsNotification schedules a notification of the watchers if hosts have changed since the last one. The
// caller holds the lock.
func (x *Exchanger) scheduleHostsNotification() {
	if x.hostsPending || x.gossip.HostsCounter() == x.notifiedHosts {
		return
	}
	x.hostsPending = true
	time.AfterFunc(hostsDelay, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.hostsPending, x.notifiedHosts = false, x.gossip.HostsCounter()
		x.notifyWatchers()
	})
}

// HostStore keeps the hosts of objects across restarts.
type HostStore interface {
	Load() ([]*wire.Host, error)
	Save(list []*wire.Host) error
}

// loadHosts adds the hosts stored by an earlier run to the gossip state. If they can't be read, objects are placed
// anew.
func (x *Exchanger) loadHosts() {
	if x.HostStore == nil {
		return
	}
	list, err := x.HostStore.Load()
	if err != nil {
		_ = level.Warn(x.Logger).Log("msg", "reading hosts of objects failed, objects are placed anew", "err", err)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gossip.UpdateHosts(list)
	_ = level.Info(x.Logger).Log("msg", "hosts of objects read", "hosts", len(list))
}

// saveHosts periodically stores the hosts if they have changed. It runs in a goroutine of its own, so that a stalled
// disk does not block anything else.
func (x *Exchanger) saveHosts() {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	saved, failing := uint64(0), false
	for {
		select {
		case <-x.ctx.Done():
			return
		case <-ticker.C:
		}
		x.mu.Lock()
		changed := x.gossip.HostsCounter()
		var list []*wire.Host
		if changed != saved {
			list = x.gossip.HostsSince("", 0)
		}
		x.mu.Unlock()
		if changed == saved {
			continue
		}
		err := x.HostStore.Save(list)
		if (err != nil) != failing {
			failing = err != nil
			_ = level.Warn(x.Logger).Log("msg", "writing hosts of objects", "failing", failing, "err", err)
		}
		if err == nil {
			saved = changed
		}
	}
}

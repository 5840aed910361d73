package exchanger

import (
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/wire"
)

// savePause is the least time between two writes of the hosts. What was told since the last one is lost with the power, and
// costs a slow run for each object.
const savePause = time.Second

// gatherHosts is how long changed hosts wait for more before entry instances are told. An old host still has its object
// warm, so that haste would only cost calls.
const gatherHosts = 250 * time.Millisecond

// noticeHosts has the watchers told in a while that hosts changed. The caller holds the lock.
func (x *Exchanger) noticeHosts() {
	if x.hostsSoon || x.gossip.HostsCounter() == x.hostsTold {
		return
	}
	x.hostsSoon = true
	time.AfterFunc(gatherHosts, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.hostsSoon, x.hostsTold = false, x.gossip.HostsCounter()
		x.wake()
	})
}

// HostStore keeps the objects' hosts over restarts.
type HostStore interface {
	Load() ([]*wire.Host, error)
	Save(list []*wire.Host) error
}

// remember takes up the hosts of the last run.
func (x *Exchanger) remember() {
	if x.HostStore == nil {
		return
	}
	list, err := x.HostStore.Load()
	if err != nil {
		_ = level.Warn(x.Logger).Log("msg", "hosts of objects not read, they are placed anew", "err", err)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gossip.UpdateHosts(list)
	_ = level.Info(x.Logger).Log("msg", "hosts of objects read", "hosts", len(list))
}

// save writes the hosts from time to time, in a goroutine of its own: a stalled disk must not hold up anything else.
func (x *Exchanger) save() {
	ticker := time.NewTicker(savePause)
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

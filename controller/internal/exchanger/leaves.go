package exchanger

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/wire"
)

const (
	// saveTimeout is how long an exchange waits until the leaves in it are on the disk. It leaves time for the way of the
	// answer within callTimeout.
	saveTimeout = 500 * time.Millisecond
	// maxSaved is how many leaves are known to be on the disk; beyond it they may be written again.
	maxSaved = 20_000
)

// LeaveStore keeps the records of targets that leave across restarts.
type LeaveStore interface {
	Load() ([]*wire.Record, error)
	Append(records []*wire.Record) error
}

// leaveKeeper writes the records of targets that leave to the disk before they are acknowledged. All controllers may be
// killed at that moment: entry instances that were not told yet would go on sending requests, as the target does not
// repeat its leave. It writes in a goroutine of its own, several records at a time, so that a stalled disk delays
// nothing else.
type leaveKeeper struct {
	store  LeaveStore
	logger log.Logger

	mu sync.Mutex
	// saved holds the leaves that are on the disk, pending the records of those that are not.
	saved   map[leaveKey]bool
	pending map[leaveKey]*wire.Record
	// failures counts failed writes. written is closed and replaced after each write.
	failures int
	written  chan struct{}
	wake     chan struct{}
}

// leaveKey identifies a leave. Those of several incarnations of a target are independent: the one with the highest number
// need not be the one that is in use.
type leaveKey struct {
	target      string
	incarnation uint64
}

func leaveOf(r *wire.Record) leaveKey { return leaveKey{r.GetName(), r.GetIncarnation()} }

func newLeaveKeeper(store LeaveStore, logger log.Logger) *leaveKeeper {
	return &leaveKeeper{
		store: store, logger: logger, saved: map[leaveKey]bool{}, pending: map[leaveKey]*wire.Record{},
		written: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// load returns the leaves on the disk. If they can't be read, the other controllers still hold them.
func (k *leaveKeeper) load() []*wire.Record {
	list, err := k.store.Load()
	if err != nil {
		_ = level.Error(k.logger).Log("msg", "reading leaves of targets failed", "err", err)
	}
	for _, r := range list {
		k.saved[leaveOf(r)] = true
	}
	_ = level.Info(k.logger).Log("msg", "leaves of targets read", "leaves", len(list))
	return list
}

// save returns once the records of all targets that leave are on the disk, or a NotSavedError.
func (k *leaveKeeper) save(ctx context.Context, records []*wire.Record) error {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	failures := -1
	for {
		k.mu.Lock()
		missing, written := k.queue(records), k.written
		failed := failures >= 0 && k.failures > failures
		failures = k.failures
		k.mu.Unlock()
		if missing == 0 {
			return nil
		}
		if failed {
			return &NotSavedError{Leaves: missing}
		}
		select {
		case k.wake <- struct{}{}:
		default:
		}
		select {
		case <-written:
		case <-ctx.Done():
			return &NotSavedError{Leaves: missing}
		}
	}
}

// queue queues the records of targets that leave and are not on the disk, and returns their number. The caller holds the
// lock.
func (k *leaveKeeper) queue(records []*wire.Record) int {
	missing := 0
	for _, r := range records {
		if r.GetState() == wire.TargetState_TARGET_READY || k.saved[leaveOf(r)] {
			continue
		}
		missing++
		k.pending[leaveOf(r)] = r
	}
	return missing
}

// run writes what is queued until ctx ends.
func (k *leaveKeeper) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		k.write()
	}
}

func (k *leaveKeeper) write() {
	k.mu.Lock()
	var records []*wire.Record
	for _, r := range k.pending {
		records = append(records, r)
	}
	k.mu.Unlock()
	if len(records) == 0 {
		return
	}
	began := time.Now()
	err := k.store.Append(records)
	if err != nil {
		_ = level.Error(k.logger).Log("msg", "leaves of targets not saved", "leaves", len(records),
			"took", time.Since(began), "err", err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.failures++
	} else {
		k.record(records)
	}
	close(k.written)
	k.written = make(chan struct{})
}

// record records that leaves are on the disk. The caller holds the lock.
func (k *leaveKeeper) record(records []*wire.Record) {
	if len(k.saved) > maxSaved {
		clear(k.saved)
	}
	for _, r := range records {
		k.saved[leaveOf(r)] = true
		delete(k.pending, leaveOf(r))
	}
}

// restoreLeaves adds the leaves on the disk to the gossip state, and starts to write further ones.
func (x *Exchanger) restoreLeaves() {
	if x.LeaveStore == nil {
		return
	}
	x.leaves = newLeaveKeeper(x.LeaveStore, x.Logger)
	list := x.leaves.load()
	x.update(func(now time.Time) { x.gossip.Restore(now, list) })
	x.group.Go(func() { x.leaves.run(x.ctx) })
}

// saveLeaves returns once the records of targets that leave are on the disk, or a NotSavedError.
func (x *Exchanger) saveLeaves(ctx context.Context, records []*wire.Record) error {
	if x.leaves == nil {
		return nil
	}
	return x.leaves.save(ctx, records)
}

package exchanger

import (
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/controller/internal/counter"
	"chervilrail.example/core/dialer"
	"chervilrail.example/core/gossiper"
	"chervilrail.example/core/packer"
	"chervilrail.example/core/wire"
)

const (
	// maxSharedAge is how long changes are shared; the remaining cold times of targets in them are older by that much.
	maxSharedAge = 200 * time.Millisecond
	// maxShared is how many positions the changes after which are kept.
	maxShared = 64
)

// sharedChanges keeps what many entry instances receive alike, so that each change is copied, encoded and compressed
// once, and not once for every instance: with three thousand targets that start at once, this would take a controller
// many times as long as the instances wait for their answers. The lock of the exchanger guards it.
type sharedChanges struct {
	packer packer.Packer
	// upTo is the counter of the gossip state up to which watchers receive changes. It advances when they are notified,
	// so that all that are answered meanwhile reach the same position, and receive the same the next time.
	upTo uint64
	// after holds the changes after each position. It is valid until expires.
	after   map[gossiper.Position]*changeSet
	expires time.Time
	// plan and packedPlan are the plan that was packed last and its encoding.
	plan       *wire.Plan
	packedPlan []byte
}

// changeSet is the changes after one position. packed is their encoding if they are large.
type changeSet struct {
	changes *gossiper.Changes
	packed  []byte
}

// changesAfter returns the changes after a position. The caller holds the lock.
func (x *Exchanger) changesAfter(now time.Time, p gossiper.Position) *changeSet {
	s := &x.shared
	if s.upTo == 0 {
		// Counter 0 stands for a watcher that has received nothing.
		s.upTo = x.gossip.Counter()
	}
	if s.after == nil || !now.Before(s.expires) || len(s.after) >= maxShared {
		s.after, s.expires = map[gossiper.Position]*changeSet{}, now.Add(maxSharedAge)
	}
	if set, ok := s.after[p]; ok {
		return set
	}
	set := &changeSet{changes: x.gossip.ChangesSince(now, p, s.upTo)}
	x.Counter.Add(counter.Sets, 1)
	set.packed = x.pack(&wire.WatchResponse{
		Records: set.changes.Records, Seen: set.changes.Seen, Whole: set.changes.Whole, Losses: set.changes.Losses,
	})
	s.after[p] = set
	return set
}

// packPlan returns the encoding of a plan if it is large. The caller holds the lock.
func (x *Exchanger) packPlan(plan *wire.Plan) []byte {
	if x.shared.plan != plan {
		x.shared.plan, x.shared.packedPlan = plan, x.pack(&wire.WatchResponse{Plan: plan})
	}
	return x.shared.packedPlan
}

// pack returns the encoding of a part of a response, or nil if the part is small or can't be encoded.
func (x *Exchanger) pack(part *wire.WatchResponse) []byte {
	if proto.Size(part) < dialer.MinCompressedSize {
		return nil
	}
	data, err := x.shared.packer.Pack(part)
	if err != nil {
		_ = level.Error(x.Logger).Log("msg", "response sent unpacked", "err", err)
		return nil
	}
	return data
}

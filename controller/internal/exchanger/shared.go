package exchanger

import (
	"maps"
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
	maxSharedAge = time.Second
	// maxShared is how many sets of changes are kept.
	maxShared = 64
	// maxRecords is the largest number of records in a response. A response with thousands of them may take an overloaded
	// controller longer than its instance waits; each of these brings the instance further.
	maxRecords = 512
)

// sharedChanges keeps what many entry instances receive alike, so that each change is copied, encoded and compressed
// once, and not once for every instance: with three thousand targets that start at once, this would take a controller
// many times as long as the instances wait for their answers. The lock of the exchanger guards it.
type sharedChanges struct {
	packer packer.Packer
	// upTo is the counter of the gossip state up to which watchers receive changes. It advances when they are notified,
	// so that all that are answered meanwhile reach the same position, and receive the same the next time.
	upTo uint64
	// after holds the changes after each position.
	after map[setKey]*changeSet
	// spent is how long building took since the last notification.
	spent time.Duration
	// plan and packedPlan are the plan that was packed last and its encoding.
	plan       *wire.Plan
	packedPlan []byte
}

const (
	// ordinaryDelay is how long changes that take nothing out of use are gathered at least, and maxOrdinaryDelay at most.
	ordinaryDelay    = 150 * time.Millisecond
	maxOrdinaryDelay = time.Second
	// restFactor is how many times as long as building the last changes took the next ones are gathered, so that while
	// thousands of targets start, building takes a small part of the processor.
	restFactor = 6
)

// ordinaryDelay returns how long to gather ordinary changes now.
func (s *sharedChanges) ordinaryDelay() time.Duration {
	return min(maxOrdinaryDelay, max(ordinaryDelay, restFactor*s.spent))
}

// setKey is a position, and whether the instances that have reached it read parts and packed responses.
type setKey struct {
	position gossiper.Position
	unpacks  bool
}

// changeSet is the changes after one position. packed is their encoding if they are large.
type changeSet struct {
	changes *gossiper.Changes
	packed  []byte
	expires time.Time
}

// advance makes watchers receive changes up to a counter. Sets with a part of the records stay: what has changed since
// follows after the position that they lead to.
func (s *sharedChanges) advance(upTo uint64) {
	if s.upTo == upTo {
		return
	}
	s.upTo, s.spent = upTo, 0
	maps.DeleteFunc(s.after, func(_ setKey, set *changeSet) bool { return !set.changes.Partial })
}

// changesAfter returns the changes after a position: a part of them, packed if it is large, for instances that unpack.
// The caller holds the lock.
func (x *Exchanger) changesAfter(now time.Time, p gossiper.Position, unpacks bool) *changeSet {
	s := &x.shared
	if s.upTo == 0 {
		// Counter 0 stands for a watcher that has received nothing.
		s.upTo = x.gossip.Counter()
	}
	key := setKey{p, unpacks}
	if set, ok := s.after[key]; ok && now.Before(set.expires) {
		return set
	}
	if s.after == nil || len(s.after) >= maxShared {
		s.after = map[setKey]*changeSet{}
	}
	limit := 0
	if unpacks {
		limit = maxRecords
	}
	started := time.Now()
	defer func() { s.spent += time.Since(started) }()
	set := &changeSet{changes: x.gossip.ChangesSince(now, p, s.upTo, limit), expires: now.Add(maxSharedAge)}
	x.Counter.Add(counter.Sets, 1)
	if unpacks {
		set.packed = x.pack(&wire.WatchResponse{
			Records: set.changes.Records, Seen: set.changes.Seen, Whole: set.changes.Whole, Losses: set.changes.Losses,
			Ratelimits: set.changes.RateLimits, Backoffs: set.changes.Backoffs,
		})
	}
	s.after[key] = set
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

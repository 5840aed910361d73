package exchanger

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
)

// Announce takes a target's announcement. That a target leaves is acknowledged only once most voters hold it:
// told to this controller alone it would be forgotten if this one is cut off the next moment, and requests would go
// on to reach a target that was told it gets none.
func (x *Exchanger) Announce(ctx context.Context, r *wire.Record) error {
	if err := registrar.CheckForm(r); err != nil {
		return err
	}
	// With nobody to pass it on to, the announcement would be lost: the target asks another controller.
	if len(x.Consensus.Routing().Members) == 0 {
		return &UnjoinedError{}
	}
	return x.take(ctx, r)
}

func (x *Exchanger) take(ctx context.Context, r *wire.Record) error {
	var counter uint64
	x.update(func(now time.Time) {
		old, known := x.gossip.Target(r.GetName())
		counter = x.gossip.Announce(now, r)
		if !known || old.GetState() != r.GetState() || old.GetIncarnation() != r.GetIncarnation() {
			_ = level.Info(x.Logger).Log("msg", "target announced", "target", r.GetName(), "incarnation", r.GetIncarnation(),
				"sequence", r.GetSequence(), "service", r.GetService(), "address", r.GetAddress(), "zone", r.GetZone(),
				"state", r.GetState(), "cold", time.Duration(r.GetCold()))
		}
	})
	if r.GetState() == wire.TargetState_TARGET_READY {
		return nil
	}
	return x.bind(ctx, r.GetName(), counter)
}

// Leave takes a target's word that it ends. An incarnation of zero means the one known here. Of a target that is not
// known here nothing could be told to the others that would ward off its delayed announcements, unless it names its
// incarnation; so the word is not taken, and the target asks elsewhere.
func (x *Exchanger) Leave(ctx context.Context, name string, incarnation uint64) error {
	x.mu.Lock()
	record, known := x.gossip.Target(name)
	x.mu.Unlock()
	if !known && incarnation == 0 {
		return &UnknownTargetError{Target: name}
	}
	if known && incarnation != 0 && incarnation < record.GetIncarnation() {
		return nil
	}
	gone := &wire.Record{Name: name}
	if known {
		gone = proto.CloneOf(record)
	}
	gone.State = wire.TargetState_TARGET_GONE
	gone.Incarnation = max(gone.GetIncarnation(), incarnation)
	return x.take(ctx, gone)
}

// bind waits until most voters hold a change.
func (x *Exchanger) bind(ctx context.Context, target string, counter uint64) error {
	ctx, cancel := context.WithTimeout(ctx, bindTimeout)
	defer cancel()
	for {
		voters := x.Consensus.Routing().Voters()
		x.mu.Lock()
		bound := most(voters, func(name string) bool { return x.gossip.HasAcknowledged(name, counter) })
		news := x.news
		x.mu.Unlock()
		if bound {
			return nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			_ = level.Warn(x.Logger).Log("msg", "leaving not acknowledged", "target", target, "counter", counter)
			return &UnlinkedError{}
		}
	}
}

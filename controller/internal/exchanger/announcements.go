package exchanger

import (
	"cmp"
	"context"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/controller/internal/counter"
	"chervilrail.example/core/listener"
	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
)

// Announce accepts a target's announcement and shares it with the other controllers, once a plan names its service. For
// a leaving target, it returns without an error only once a majority of the voters have acknowledged the announcement.
// If only this controller had it and were then disconnected, requests would still be sent to a target that was assured
// it receives none.
//
// It returns an error of registrar.CheckFormat for a malformed record, a NotJoinedError before this controller has
// joined the group, and a NoQuorumError, a NotSavedError or a SupersededError if a leaving target is not acknowledged.
func (x *Exchanger) Announce(ctx context.Context, r *wire.Record) error {
	if err := registrar.CheckFormat(r); err != nil {
		return err
	}
	// With no members to pass it on to, the announcement would be lost. After the error the target tries another
	// controller.
	if len(x.Consensus.Routing().Members) == 0 {
		return &NotJoinedError{}
	}
	if x.setAside(ctx, r) {
		return nil
	}
	return x.accept(ctx, r)
}

// accept records an announcement and, unless the target is ready, waits until it is on the disks of this controller and of
// a majority of the voters.
func (x *Exchanger) accept(ctx context.Context, r *wire.Record) error {
	var position uint64
	var superseded error
	x.update(func(now time.Time) {
		old, known := x.gossip.Target(r.GetName())
		moved := known && !x.gossip.Announces(r.GetName())
		before := x.gossip.Marks()
		position = x.gossip.Announce(now, r)
		x.countAnnouncement(ctx, moved, x.gossip.Marks().Watched > before.Watched)
		merged, stored := x.gossip.Target(r.GetName())
		if !stored {
			merged = r
			_ = level.Warn(x.Logger).Log("msg", "target not recorded", "target", r.GetName(), "address", r.GetAddress(),
				"incarnation", r.GetIncarnation(), "reason", "a higher number holds the address, or too many targets")
		} else if !known || old.GetState() != merged.GetState() || old.GetIncarnation() != merged.GetIncarnation() ||
			old.GetOverrides() != merged.GetOverrides() {
			x.logAnnouncement(merged)
		}
		superseded = checkSuperseded(merged, r)
	})
	if r.GetState() == wire.TargetState_TARGET_READY {
		return nil
	}
	if superseded != nil {
		return superseded
	}
	if err := x.saveLeaves(ctx, []*wire.Record{r}); err != nil {
		return err
	}
	return x.awaitQuorum(ctx, r.GetName(), position)
}

func (x *Exchanger) logAnnouncement(r *wire.Record) {
	_ = level.Info(x.Logger).Log("msg", "target announced", "target", r.GetName(), "incarnation", r.GetIncarnation(),
		"sequence", r.GetSequence(), "service", r.GetService(), "address", r.GetAddress(), "zone", r.GetZone(),
		"state", r.GetState(), "overrides", r.GetOverrides(), "cold", time.Duration(r.GetCold()))
}

// countAnnouncement counts an announcement: moved if the target announced itself to another controller before, published
// if entry instances have to receive it.
func (x *Exchanger) countAnnouncement(ctx context.Context, moved, published bool) {
	x.Counter.Add(counter.Announcements, 1)
	if listener.CallerDisconnected(ctx) {
		x.Counter.Add(counter.Abandoned, 1)
	}
	if moved {
		x.Counter.Add(counter.Moved, 1)
	}
	if published {
		x.Counter.Add(counter.Published, 1)
	}
}

// Leave records that a target has left. An incarnation of zero stands for the one known here. If the target is unknown
// and names no incarnation, Leave returns an UnknownTargetError, and the target tries another controller: without an
// incarnation, the record could not override delayed announcements of the target. A leave of an incarnation older than
// the one in use is ignored, with a SupersededError. As in Announce, a NoQuorumError means that the record was not
// acknowledged in time, and an error of registrar that the name or the incarnation is malformed.
func (x *Exchanger) Leave(ctx context.Context, name string, incarnation uint64) error {
	if err := cmp.Or(registrar.CheckName(name), registrar.CheckIncarnation(incarnation)); err != nil {
		return err
	}
	x.mu.Lock()
	record, known := x.gossip.Target(name)
	x.mu.Unlock()
	if !known && incarnation == 0 {
		return &UnknownTargetError{Target: name}
	}
	departed := &wire.Record{Name: name}
	if known {
		departed = proto.CloneOf(record)
	}
	if known && incarnation != 0 && incarnation < record.GetIncarnation() {
		departed.Incarnation = incarnation
		return checkSuperseded(record, departed)
	}
	departed.State = wire.TargetState_TARGET_GONE
	departed.Incarnation = max(departed.GetIncarnation(), incarnation)
	return x.accept(ctx, departed)
}

// checkSuperseded returns a SupersededError if a target is in use by a record of another incarnation than that of its
// announcement, so that a leave would be acknowledged and have no effect.
func checkSuperseded(merged, r *wire.Record) error {
	if merged.GetState() != wire.TargetState_TARGET_READY || merged.GetIncarnation() <= r.GetIncarnation() {
		return nil
	}
	return &SupersededError{Target: r.GetName(), Incarnation: r.GetIncarnation(), Known: merged.GetIncarnation()}
}

// awaitQuorum waits until a majority of the voters have acknowledged everything up to a position, a counter of the
// gossip state.
func (x *Exchanger) awaitQuorum(ctx context.Context, target string, position uint64) error {
	ctx, cancel := context.WithTimeout(ctx, quorumTimeout)
	defer cancel()
	for {
		voters := x.Consensus.Routing().Voters()
		x.mu.Lock()
		acknowledged := majority(voters, func(name string) bool { return x.gossip.HasAcknowledged(name, position) })
		next := x.acknowledged
		x.mu.Unlock()
		if acknowledged {
			return nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			_ = level.Warn(x.Logger).Log("msg", "leaving target not acknowledged by a majority",
				"target", target, "counter", position)
			return &NoQuorumError{}
		}
	}
}

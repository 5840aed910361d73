package directory

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/balancer"
	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
)

type announceEvent struct {
	record *wire.Record
	reply  chan error
}

func (e announceEvent) handle(d *Directory, now time.Time) {
	if d.catalogue == nil {
		e.reply <- &UnconfirmedError{}
		return
	}
	if err := registrar.Check(d.catalogue, e.record); err != nil {
		e.reply <- err
		return
	}
	if d.records.Announce(now, e.record) {
		stored, _ := d.records.Get(e.record.GetName())
		d.updateTarget(now, stored)
		d.RecordBroadcaster.BroadcastRecords([]*wire.Record{stored})
	}
	e.reply <- nil
}

type mergeEvent struct {
	records []*wire.Record
}

func (e mergeEvent) handle(d *Directory, now time.Time) {
	if d.catalogue == nil {
		return
	}
	for _, r := range e.records {
		if registrar.Check(d.catalogue, r) == nil && d.records.Merge(now, r) {
			d.updateTarget(now, r)
		}
	}
}

type recordsEvent struct {
	reply chan []*wire.Record
}

func (e recordsEvent) handle(d *Directory, _ time.Time) {
	e.reply <- d.records.All()
}

// updateTarget updates a target's state by its new record.
func (d *Directory) updateTarget(now time.Time, r *wire.Record) {
	target, ok := d.targets[r.GetName()]
	if !ok || changed(target, r) {
		address, err := netip.ParseAddrPort(r.GetAddress())
		if err != nil {
			return
		}
		target = &balancer.Target{
			Name:        r.GetName(),
			Incarnation: r.GetIncarnation(),
			Address:     address,
			Region:      r.GetRegion(),
			Zone:        r.GetZone(),
			Slots:       r.GetSlots(),
			FirstSeen:   d.coldSince(now),
		}
		d.targets[r.GetName()] = target
		d.stale = true
		_ = level.Info(d.Logger).Log("msg", "target seen", "target", target.Name, "incarnation", target.Incarnation,
			"service", r.GetService(), "region", target.Region, "zone", target.Zone, "slots", target.Slots)
	}
	target.SetReport(balancer.Report{Load: r.GetLoad(), At: now})
	if r.GetState() == wire.TargetState_TARGET_LEAVING {
		d.stale = true
		_ = level.Info(d.Logger).Log("msg", "target leaving", "target", target.Name, "incarnation", target.Incarnation)
	}
}

// coldSince returns since when a newly seen target counts as cold. Within registrar.Lease after this instance's own
// start, targets count as warm (zero time): they have been serving meanwhile, and ramping up all of them again would
// refuse callers after every restart.
func (d *Directory) coldSince(now time.Time) time.Time {
	if now.Sub(d.started) < registrar.Lease {
		return time.Time{}
	}
	return now
}

// changed reports whether a record is of another run of the target, or has other slots or another address, region or
// zone.
func changed(target *balancer.Target, r *wire.Record) bool {
	return target.Incarnation != r.GetIncarnation() || target.Slots != r.GetSlots() ||
		target.Address.String() != r.GetAddress() || target.Region != r.GetRegion() || target.Zone != r.GetZone()
}

// post queues an event. It returns the error of ctx, or an UnconfirmedError once the directory has stopped.
func (d *Directory) post(ctx context.Context, e event) error {
	select {
	case d.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-d.done:
		return &UnconfirmedError{}
	}
}

// Announce stores a target's own announcement and passes it on if it is newer. It returns an AnnouncementError of the
// registrar if the catalogue does not allow it, and an UnconfirmedError while there is no catalogue or after Stop.
func (d *Directory) Announce(ctx context.Context, r *wire.Record) error {
	reply := make(chan error, 1)
	if err := d.post(ctx, announceEvent{r, reply}); err != nil {
		return err
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-d.done:
		return &UnconfirmedError{}
	}
}

// Merge queues announcements that another entry instance passed on; those that the catalogue does not allow are
// ignored.
func (d *Directory) Merge(ctx context.Context, records []*wire.Record) error {
	return d.post(ctx, mergeEvent{records})
}

// Records returns all stored announcements.
func (d *Directory) Records(ctx context.Context) ([]*wire.Record, error) {
	reply := make(chan []*wire.Record, 1)
	if err := d.post(ctx, recordsEvent{reply}); err != nil {
		return nil, err
	}
	select {
	case records := <-reply:
		return records, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-d.done:
		return nil, &UnconfirmedError{}
	}
}

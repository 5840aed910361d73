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
		e.reply <- &LapsedError{}
		return
	}
	if err := registrar.Check(d.catalogue, e.record); err != nil {
		e.reply <- err
		return
	}
	if d.merge(now, e.record) {
		d.Spreader.Spread([]*wire.Record{e.record})
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
		if registrar.Check(d.catalogue, r) == nil {
			d.merge(now, r)
		}
	}
}

type recordsEvent struct {
	reply chan []*wire.Record
}

func (e recordsEvent) handle(d *Directory, _ time.Time) {
	e.reply <- d.records.All()
}

// merge takes a newer record and brings the target's state in line with it.
func (d *Directory) merge(now time.Time, r *wire.Record) bool {
	if !d.records.Merge(now, r) {
		return false
	}
	u, ok := d.targets[r.GetName()]
	if !ok || changed(u, r) {
		address, err := netip.ParseAddrPort(r.GetAddress())
		if err != nil {
			return false
		}
		u = &balancer.Target{
			Name:        r.GetName(),
			Incarnation: r.GetIncarnation(),
			Address:     address,
			Region:      r.GetRegion(),
			Zone:        r.GetZone(),
			Slots:       r.GetSlots(),
			FirstSeen:   d.firstSeen(now),
		}
		d.targets[r.GetName()] = u
		d.stale = true
		_ = level.Info(d.Logger).Log("msg", "target seen", "target", u.Name, "incarnation", u.Incarnation,
			"service", r.GetService(), "region", u.Region, "zone", u.Zone, "slots", u.Slots)
	}
	u.SetReport(balancer.Report{Load: r.GetLoad(), At: now})
	if r.GetState() == wire.TargetState_TARGET_LEAVING {
		d.stale = true
		_ = level.Info(d.Logger).Log("msg", "target leaving", "target", u.Name, "incarnation", u.Incarnation)
	}
	return true
}

// firstSeen treats what is found right after this instance's own start as warm: the targets have been
// at work meanwhile, and ramping them all again would refuse callers after every restart.
func (d *Directory) firstSeen(now time.Time) time.Time {
	if now.Sub(d.started) < registrar.Lease {
		return time.Time{}
	}
	return now
}

func changed(u *balancer.Target, r *wire.Record) bool {
	return u.Incarnation != r.GetIncarnation() || u.Slots != r.GetSlots() ||
		u.Address.String() != r.GetAddress() || u.Region != r.GetRegion() || u.Zone != r.GetZone()
}

func (d *Directory) post(ctx context.Context, e event) error {
	select {
	case d.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-d.done:
		return &LapsedError{}
	}
}

// Announce takes a target's own announcement.
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
		return &LapsedError{}
	}
}

// Merge takes announcements that another entry instance passed on.
func (d *Directory) Merge(ctx context.Context, records []*wire.Record) error {
	return d.post(ctx, mergeEvent{records})
}

// Records returns all announcements.
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
		return nil, &LapsedError{}
	}
}

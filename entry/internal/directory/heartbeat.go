package directory

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/wire"
)

// RequestHeartbeat asks for an early heartbeat, because a share was used up or something changed.
func (d *Directory) RequestHeartbeat() {
	select {
	case d.hurry <- struct{}{}:
	default:
	}
}

// beat sends heartbeats, and asks soon again after a failure: a lease must not lapse because one
// controller froze.
func (d *Directory) beat() {
	defer close(d.beats)
	for {
		ok := d.renew()
		if !d.pause(d.Every / hurryParts) {
			return
		}
		if !ok {
			continue
		}
		select {
		case <-d.ctx.Done():
			return
		case <-d.hurry:
		case <-time.After(d.Every - d.Every/hurryParts):
		}
	}
}

func (d *Directory) pause(wait time.Duration) bool {
	select {
	case <-d.ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

func (d *Directory) renew() bool {
	now := time.Now()
	sequence, holdings := d.Holder.Request(now)
	v := d.View()
	request := &wire.RenewRequest{
		Sequence: sequence,
		Holdings: holdings,
		Group:    atomic.LoadUint64(&d.group),
		Roster:   atomic.LoadUint64(&d.rosterAt),
		Node: &wire.Node{
			Name:        d.Instance,
			Incarnation: d.incarnation,
			Caller:      d.Caller.String(),
			Peer:        d.Peer.String(),
			Region:      d.Region,
			Zone:        d.Zone,
			Leaving:     d.leaving.Load(),
			Spare:       d.spare.Load(),
		},
	}
	if v != nil {
		request.Node.Number = v.CatalogueNumber
	}
	response, err := d.Renewer.Renew(d.ctx, request)
	if err != nil {
		d.noteFailure(err)
		return false
	}
	return d.adopt(response)
}

func (d *Directory) noteFailure(err error) {
	if d.ctx.Err() != nil {
		return
	}
	if d.lapses.Add(1)%10 == 1 {
		_ = level.Warn(d.Logger).Log("msg", "renew failed", "err", err, "confirmed", d.Confirmed(time.Now()))
	}
}

// adopt waits until the answer is in force, so that the next heartbeat confirms the new catalogue.
func (d *Directory) adopt(r *wire.RenewResponse) bool {
	done := make(chan bool, 1)
	select {
	case d.events <- adoptEvent{r, done}:
	case <-d.ctx.Done():
		return false
	}
	select {
	case ok := <-done:
		return ok
	case <-d.ctx.Done():
		return false
	}
}

type adoptEvent struct {
	response *wire.RenewResponse
	done     chan bool
}

func (e adoptEvent) handle(d *Directory, now time.Time) {
	e.done <- d.take(now, e.response)
}

// take puts a controller's answer in force. The catalogue comes first and the lease after it, so that no
// request is let through under a lease whose catalogue is not yet used.
func (d *Directory) take(now time.Time, r *wire.RenewResponse) bool {
	if !d.acceptable(r) {
		return false
	}
	if r.GetNumber() > d.number || d.catalogue == nil {
		if !d.takeCatalogue(r) {
			return false
		}
	}
	atomic.StoreUint64(&d.group, r.GetGroup())
	if r.GetRoster() != d.rosterAt {
		atomic.StoreUint64(&d.rosterAt, r.GetRoster())
		d.nodes = r.GetNodes()
		d.stale = true
	}
	d.watchLimits(now)
	if d.stale {
		d.publish(now)
	}
	if !d.Holder.Accept(now, r.GetSequence(), time.Duration(r.GetLease()), r.GetGrants()) {
		return false
	}
	return true
}

// acceptable refuses an older catalogue whoever sends it: a controller that came back from an old disk
// would otherwise make an accepted change revert here.
func (d *Directory) acceptable(r *wire.RenewResponse) bool {
	if d.group != 0 && r.GetGroup() != d.group {
		_ = level.Error(d.Logger).Log("msg", "refused controller of another group", "group", r.GetGroup())
		return false
	}
	if r.GetNumber() < d.number {
		_ = level.Error(d.Logger).Log("msg", "refused older catalogue", "number", r.GetNumber(), "have", d.number)
		return false
	}
	return true
}

func (d *Directory) takeCatalogue(r *wire.RenewResponse) bool {
	parsed, err := cataloguer.Parse("catalogue", r.GetCatalogue())
	if err != nil {
		_ = level.Error(d.Logger).Log("msg", "refused catalogue", "number", r.GetNumber(), "err", err)
		return false
	}
	d.catalogue = parsed
	d.number = r.GetNumber()
	d.stale = true
	// The next heartbeat confirms the change; operators wait for it.
	d.RequestHeartbeat()
	_ = level.Info(d.Logger).Log("msg", "catalogue in force", "number", d.number)
	return true
}

func (d *Directory) watchLimits(now time.Time) {
	limits := d.catalogue.Limits()
	names := make([]string, 0, len(limits))
	for _, l := range limits {
		names = append(names, l.Resource)
	}
	d.Holder.SetResources(now, names)
}

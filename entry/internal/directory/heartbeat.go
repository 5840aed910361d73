package directory

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/wire"
)

// RequestHeartbeat requests a heartbeat before the next one is due, because a share is used up or the state has
// changed. It does not block.
func (d *Directory) RequestHeartbeat() {
	select {
	case d.heartbeatRequests <- struct{}{}:
	default:
	}
}

// sendHeartbeats sends heartbeats, and retries early after a failure: a lease must not expire because one controller
// has frozen.
func (d *Directory) sendHeartbeats() {
	defer close(d.heartbeatsDone)
	for {
		ok := d.renew()
		if !d.sleep(d.HeartbeatInterval / minWaitDivisor) {
			return
		}
		if !ok {
			continue
		}
		select {
		case <-d.ctx.Done():
			return
		case <-d.heartbeatRequests:
		case <-time.After(d.HeartbeatInterval - d.HeartbeatInterval/minWaitDivisor):
		}
	}
}

// sleep waits, and reports whether the directory still runs afterwards.
func (d *Directory) sleep(wait time.Duration) bool {
	select {
	case <-d.ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// renew sends one heartbeat and reports whether its answer is in force.
func (d *Directory) renew() bool {
	now := time.Now()
	sequence, holdings := d.Holder.Request(now)
	v := d.View()
	request := &wire.RenewRequest{
		Sequence: sequence,
		Holdings: holdings,
		Group:    atomic.LoadUint64(&d.group),
		Roster:   atomic.LoadUint64(&d.rosterVersion),
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
		d.logFailure(err)
		return false
	}
	return d.apply(response)
}

// logFailure logs every tenth failed heartbeat, starting with the first.
func (d *Directory) logFailure(err error) {
	if d.ctx.Err() != nil {
		return
	}
	if d.renewFailures.Add(1)%10 == 1 {
		_ = level.Warn(d.Logger).Log("msg", "renew failed", "err", err, "confirmed", d.Confirmed(time.Now()))
	}
}

// apply hands the answer to the goroutine that owns the state and waits until it is in force, so that the next
// heartbeat confirms the new catalogue.
func (d *Directory) apply(r *wire.RenewResponse) bool {
	done := make(chan bool, 1)
	select {
	case d.events <- responseEvent{r, done}:
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

type responseEvent struct {
	response *wire.RenewResponse
	done     chan bool
}

func (e responseEvent) handle(d *Directory, now time.Time) {
	e.done <- d.applyResponse(now, e.response)
}

// applyResponse puts a controller's answer into force and reports whether its lease was accepted. The catalogue is
// applied before the lease, so that no request is admitted under a lease whose catalogue is not yet in use.
func (d *Directory) applyResponse(now time.Time, r *wire.RenewResponse) bool {
	if !d.acceptable(r) {
		return false
	}
	if r.GetNumber() > d.catalogueNumber || d.catalogue == nil {
		if !d.applyCatalogue(r) {
			return false
		}
	}
	atomic.StoreUint64(&d.group, r.GetGroup())
	if r.GetRoster() != d.rosterVersion {
		atomic.StoreUint64(&d.rosterVersion, r.GetRoster())
		d.roster = r.GetNodes()
		d.stale = true
	}
	d.updateResources(now)
	if d.stale {
		d.publish(now)
	}
	if !d.Holder.Accept(now, r.GetSequence(), time.Duration(r.GetLease()), r.GetGrants()) {
		return false
	}
	return true
}

// acceptable reports whether an answer may be applied. It rejects answers of another group of controllers, and older
// catalogues from any controller: one that came back with an old disk would otherwise make an accepted change revert on
// this instance.
func (d *Directory) acceptable(r *wire.RenewResponse) bool {
	if d.group != 0 && r.GetGroup() != d.group {
		_ = level.Error(d.Logger).Log("msg", "refused controller of another group", "group", r.GetGroup())
		return false
	}
	if r.GetNumber() < d.catalogueNumber {
		_ = level.Error(d.Logger).Log("msg", "refused older catalogue", "number", r.GetNumber(),
			"have", d.catalogueNumber)
		return false
	}
	return true
}

func (d *Directory) applyCatalogue(r *wire.RenewResponse) bool {
	parsed, err := cataloguer.Parse("catalogue", r.GetCatalogue())
	if err != nil {
		_ = level.Error(d.Logger).Log("msg", "refused catalogue", "number", r.GetNumber(), "err", err)
		return false
	}
	d.catalogue = parsed
	d.catalogueNumber = r.GetNumber()
	d.stale = true
	// The next heartbeat confirms the change to the controllers; operators wait for that.
	d.RequestHeartbeat()
	_ = level.Info(d.Logger).Log("msg", "catalogue in force", "number", d.catalogueNumber)
	return true
}

// updateResources sets for which resources the holder requests shares: those that the catalogue limits.
func (d *Directory) updateResources(now time.Time) {
	limits := d.catalogue.Limits()
	names := make([]string, 0, len(limits))
	for _, l := range limits {
		names = append(names, l.Resource)
	}
	d.Holder.SetResources(now, names)
}

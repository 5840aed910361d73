// Package directory is the service that owns an entry instance's control state: the catalogue, the other
// instances, the targets, and the shares of limits. One goroutine changes it; the goroutines that serve traffic read an
// immutable View.
package directory

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"chervilrail.example/core/balancer"
	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/chooser"
	"chervilrail.example/core/granter"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
)

const (
	// queueLength bounds the events that wait for the goroutine that owns the state.
	queueLength = 4096
	// refreshInterval is how often records are expired and the view is rebuilt.
	refreshInterval = 100 * time.Millisecond
	// retryPause is how long a caller should wait that was refused because the catalogue is not confirmed.
	retryPause = time.Second
)

// Renewer sends heartbeats to the leading controller.
type Renewer interface {
	Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewResponse, error)
}

// RecordBroadcaster sends new announcements to the other entry instances.
type RecordBroadcaster interface {
	BroadcastRecords(records []*wire.Record)
}

// Directory is the control service. Set the exported fields before Start.
type Directory struct {
	// Instance is this instance's name.
	Instance string
	Region   string
	Zone     string
	// Caller and Peer are the addresses for callers and for other entry instances.
	Caller netip.AddrPort
	Peer   netip.AddrPort
	// HeartbeatInterval is the time between two heartbeats, unless one is requested earlier.
	HeartbeatInterval time.Duration
	Renewer           Renewer
	RecordBroadcaster RecordBroadcaster
	Logger            log.Logger

	// Holder holds this instance's shares of limits; requests take from it.
	Holder granter.Holder

	incarnation uint64
	started     time.Time
	// group identifies the group of controllers; zero until one has answered.
	group           uint64
	rosterVersion   uint64
	catalogueNumber uint64
	catalogue       *cataloguer.Catalogue
	roster          []*wire.Node
	records         registrar.Registrar
	targets         map[string]*balancer.Target
	// stale is set if the view has to be rebuilt.
	stale bool

	view          atomic.Pointer[View]
	leaving       atomic.Bool
	spare         atomic.Int64
	renewFailures atomic.Int64

	events         chan event
	ctx            context.Context
	cancel         context.CancelFunc
	done           chan struct{}
	heartbeatsDone chan struct{}
	// heartbeatRequests holds a value while an early heartbeat is requested.
	heartbeatRequests chan struct{}
}

// event is handled by the goroutine that owns the state.
type event interface {
	handle(d *Directory, now time.Time)
}

// Name implements kernel.Service.
func (d *Directory) Name() string { return "directory" }

// Start starts the heartbeats. Work is refused until a leading controller has answered one.
func (d *Directory) Start(context.Context, kernel.Finder) error {
	d.incarnation = rand.Uint64()
	d.started = time.Now()
	d.targets = map[string]*balancer.Target{}
	d.events = make(chan event, queueLength)
	d.done = make(chan struct{})
	d.heartbeatsDone = make(chan struct{})
	d.heartbeatRequests = make(chan struct{}, 1)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	go d.run()
	go d.sendHeartbeats()
	return nil
}

// Stop stops the goroutines and waits for them.
func (d *Directory) Stop(context.Context) error {
	if d.cancel == nil {
		return nil
	}
	d.cancel()
	<-d.done
	<-d.heartbeatsDone
	return nil
}

// Health implements kernel.Service. It returns an UnconfirmedError while the catalogue is not confirmed.
func (d *Directory) Health() error {
	if d.View() == nil || !d.Confirmed(time.Now()) {
		return &UnconfirmedError{Since: d.Holder.Deadline()}
	}
	return nil
}

// View returns the newest view, or nil before the first.
func (d *Directory) View() *View { return d.view.Load() }

// Confirmed reports whether this instance may serve requests: a leading controller has confirmed its catalogue, and
// that lease has not expired.
func (d *Directory) Confirmed(now time.Time) bool { return now.Before(d.Holder.Deadline()) }

// RetryAt returns when a caller should retry that was refused because the catalogue is not confirmed.
func (d *Directory) RetryAt(now time.Time) time.Time { return now.Add(retryPause) }

// Leave marks the instance as leaving, from the next heartbeat on: others stop naming it to callers.
func (d *Directory) Leave() { d.leaving.Store(true) }

// SetSpare sets how many more requests this instance could take; it is sent with each heartbeat.
func (d *Directory) SetSpare(n int64) { d.spare.Store(n) }

// run handles events and republishes the view until the directory is stopped.
func (d *Directory) run() {
	defer close(d.done)
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case e := <-d.events:
			e.handle(d, time.Now())
			d.handleQueued()
		case <-ticker.C:
			d.records.Expire(time.Now())
			d.stale = true
		}
		if d.stale && d.catalogue != nil {
			d.publish(time.Now())
		}
	}
}

// handleQueued handles the events that are queued, so that the view is rebuilt once for all of them.
func (d *Directory) handleQueued() {
	for range queueLength {
		select {
		case e := <-d.events:
			e.handle(d, time.Now())
		default:
			return
		}
	}
}

// publish builds a new view from the control state. The table of sites is kept while the catalogue is the same.
func (d *Directory) publish(now time.Time) {
	d.stale = false
	v := &View{
		CatalogueNumber: d.catalogueNumber,
		Catalogue:       d.catalogue,
		Pools:           map[string]*balancer.Pool{},
		Roster:          d.roster,
		Leaving:         d.leaving.Load(),
	}
	for _, s := range d.catalogue.Services {
		v.Pools[s.Name] = d.buildPool(now, d.catalogue, s.Name)
	}
	if old := d.view.Load(); old != nil && old.CatalogueNumber == v.CatalogueNumber {
		v.Sites = old.Sites
	} else {
		v.Sites = buildSites(d.catalogue)
	}
	v.Instances = d.buildInstances()
	d.view.Store(v)
}

// buildInstances lists the entry instances that may be named to callers: those that are neither leaving, lost nor
// drained.
func (d *Directory) buildInstances() *chooser.List {
	var out []chooser.Instance
	for _, n := range d.roster {
		address, err := netip.ParseAddrPort(n.GetCaller())
		if err != nil || n.GetLeaving() || n.GetLost() {
			continue
		}
		if _, drained := d.catalogue.Drained("", n.GetName(), n.GetZone(), n.GetRegion()); drained {
			continue
		}
		out = append(out, chooser.Instance{
			Name:    n.GetName(),
			Address: address,
			Region:  n.GetRegion(),
			Zone:    n.GetZone(),
			Spare:   n.GetSpare(),
		})
	}
	var regions []string
	for _, r := range d.catalogue.Regions {
		regions = append(regions, r.Name)
	}
	return chooser.New(out, regions, distance)
}

// minWaitDivisor defines the minimum time between two heartbeats, even if one is requested early or the last one
// failed: a quarter of the interval.
const minWaitDivisor = 4

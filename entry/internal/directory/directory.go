// Package directory is the service that owns an entry instance's control state: the catalogue, the other
// instances, the targets, and the shares of limits. One goroutine changes it; traffic reads a View.
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
	queueLength  = 4096
	refreshEvery = 100 * time.Millisecond
	// lapsedPause is how long a lapsed instance tells callers to stay away.
	lapsedPause = time.Second
)

// Renewer sends heartbeats to the leading controller.
type Renewer interface {
	Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewResponse, error)
}

// Spreader passes new announcements on to other entry instances.
type Spreader interface {
	Spread(records []*wire.Record)
}

// Directory is the control service. Set the exported fields before Start.
type Directory struct {
	Instance string
	Region   string
	Zone     string
	Caller   netip.AddrPort
	Peer     netip.AddrPort
	Every    time.Duration
	Renewer  Renewer
	Spreader Spreader
	Logger   log.Logger

	// Holder keeps the shares of limits; traffic takes from it.
	Holder granter.Holder

	incarnation uint64
	started     time.Time
	group       uint64
	rosterAt    uint64
	number      uint64
	catalogue   *cataloguer.Catalogue
	nodes       []*wire.Node
	records     registrar.Registrar
	targets     map[string]*balancer.Target
	stale       bool

	view    atomic.Pointer[View]
	leaving atomic.Bool
	spare   atomic.Int64
	lapses  atomic.Int64

	events chan event
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	beats  chan struct{}
	// hurry asks for a heartbeat before its time.
	hurry chan struct{}
}

type event interface {
	handle(d *Directory, now time.Time)
}

// Name implements kernel.Service.
func (d *Directory) Name() string { return "directory" }

// Start begins to send heartbeats; work is refused until a leading controller answered one.
func (d *Directory) Start(context.Context, kernel.Finder) error {
	d.incarnation = rand.Uint64()
	d.started = time.Now()
	d.targets = map[string]*balancer.Target{}
	d.events = make(chan event, queueLength)
	d.done = make(chan struct{})
	d.beats = make(chan struct{})
	d.hurry = make(chan struct{}, 1)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	go d.run()
	go d.beat()
	return nil
}

// Stop ends the goroutines.
func (d *Directory) Stop(context.Context) error {
	if d.cancel == nil {
		return nil
	}
	d.cancel()
	<-d.done
	<-d.beats
	return nil
}

// Health implements kernel.Service.
func (d *Directory) Health() error {
	if d.View() == nil || !d.Confirmed(time.Now()) {
		return &LapsedError{Since: d.Holder.Deadline()}
	}
	return nil
}

// View returns the newest picture, or nil before the first.
func (d *Directory) View() *View { return d.view.Load() }

// Confirmed reports whether this instance may act: a leading controller confirmed its catalogue lately.
func (d *Directory) Confirmed(now time.Time) bool { return now.Before(d.Holder.Deadline()) }

// RetryAt is when a caller refused for want of a confirmed catalogue should come back.
func (d *Directory) RetryAt(now time.Time) time.Time { return now.Add(lapsedPause) }

// Leave marks the instance as leaving: others stop naming it to callers.
func (d *Directory) Leave() { d.leaving.Store(true) }

// SetSpare tells how many more requests this instance could take.
func (d *Directory) SetSpare(n int64) { d.spare.Store(n) }

func (d *Directory) run() {
	defer close(d.done)
	ticker := time.NewTicker(refreshEvery)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case e := <-d.events:
			e.handle(d, time.Now())
			d.drain()
		case <-ticker.C:
			d.records.Expire(time.Now())
			d.stale = true
		}
		if d.stale && d.catalogue != nil {
			d.publish(time.Now())
		}
	}
}

func (d *Directory) drain() {
	for range queueLength {
		select {
		case e := <-d.events:
			e.handle(d, time.Now())
		default:
			return
		}
	}
}

// publish builds a new view from the control state.
func (d *Directory) publish(now time.Time) {
	d.stale = false
	v := &View{
		CatalogueNumber: d.number,
		Catalogue:       d.catalogue,
		Pools:           map[string]*balancer.Pool{},
		Roster:          d.nodes,
		Stopping:        d.leaving.Load(),
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

func (d *Directory) buildInstances() *chooser.List {
	var out []chooser.Instance
	for _, n := range d.nodes {
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

// hurryParts is how much sooner than its time a heartbeat may come: a quarter of the usual wait stays.
const hurryParts = 4

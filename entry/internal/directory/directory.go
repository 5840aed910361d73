// Package directory is the service that owns an entry instance's control state: the catalogue, the other
// instances, the upstreams, and the shares of limits. One goroutine changes it; traffic reads a View.
package directory

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

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
	upstreams   map[string]*balancer.Upstream
	stale       bool

	view     atomic.Pointer[View]
	leaving  atomic.Bool
	spare    atomic.Int64
	renewals atomic.Int64
	lapses   atomic.Int64

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
	d.upstreams = map[string]*balancer.Upstream{}
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
		Number:    d.number,
		Catalogue: d.catalogue,
		Pools:     map[string]*balancer.Pool{},
		Nodes:     d.nodes,
		Stopping:  d.leaving.Load(),
	}
	for _, s := range d.catalogue.Services {
		v.Pools[s.Name] = d.buildPool(now, d.catalogue, s.Name)
	}
	if old := d.view.Load(); old != nil && old.Number == v.Number {
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

// Hurry asks for an early heartbeat, because a share was used up or something changed.
func (d *Directory) Hurry() {
	select {
	case d.hurry <- struct{}{}:
	default:
	}
}

// hurryParts is how much sooner than its time a heartbeat may come: a quarter of the usual wait stays.
const hurryParts = 4

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
		request.Node.Number = v.Number
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
	d.renewals.Add(1)
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
	d.Hurry()
	_ = level.Info(d.Logger).Log("msg", "catalogue in force", "number", d.number)
	return true
}

func (d *Directory) watchLimits(now time.Time) {
	limits := d.catalogue.Limits()
	names := make([]string, 0, len(limits))
	for _, l := range limits {
		names = append(names, l.Resource)
	}
	d.Holder.Watch(now, names)
}

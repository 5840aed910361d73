// Package exchanger is the service that shares announcements of targets and observations of entry instances with the
// other controllers, and publishes changes to entry instances.
package exchanger

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/controller/internal/consenter"
	"chervilrail.example/controller/internal/counter"
	"chervilrail.example/core/dialer"
	"chervilrail.example/core/gossiper"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	// callTimeout bounds one exchange. It covers the longest round trip between regions and a retransmission.
	callTimeout = time.Second
	// watchTimeout is how long a watch call waits for changes. Since each call reports its entry instance, it is also
	// the interval at which instances are observed.
	watchTimeout = time.Second
	// quorumTimeout is how long an announcement of a leaving target waits for a majority. It is below the second after
	// which the target tries another controller.
	quorumTimeout = 900 * time.Millisecond
	tickInterval  = 200 * time.Millisecond
	// exchangeInterval is the minimum time between two exchanges with one controller, unless changes are urgent.
	exchangeInterval = 100 * time.Millisecond
)

// Consensus provides the replicated routing state.
type Consensus interface {
	Routing() *consenter.Routing
	// Confirmed returns the newest time for which the routing state is known to have been the newest of the group, or
	// zero. It holds for what Routing returns afterwards.
	Confirmed() time.Time
}

// Exchanger is the service. Set the exported fields before Start.
type Exchanger struct {
	Self      string
	Region    string
	Consensus Consensus
	Dialer    *dialer.Dialer
	// HostStore keeps the hosts of objects across restarts. If it is nil, they are not stored.
	HostStore HostStore
	// LeaveStore keeps the targets that have left across restarts. If it is nil, they are not stored.
	LeaveStore LeaveStore
	Counter    *counter.Counter
	Logger     log.Logger

	mu     sync.Mutex
	gossip gossiper.Gossiper
	shared sharedChanges
	// leaves is nil if LeaveStore is.
	leaves  *leaveKeeper
	changed chan struct{}
	// ordinaryPending is set while a notification about ordinary changes is scheduled.
	ordinaryPending bool
	// acknowledged is closed and replaced when another controller has acknowledged changes.
	acknowledged chan struct{}
	peers        map[string]*peer
	// wasLinked is the result of linked that watchers were last notified of, wasCurrent that of isCurrent.
	wasLinked  bool
	wasCurrent bool
	// notifiedHosts is the gossip state's counter of host changes at the last notification about hosts. hostsPending is
	// set while another one is scheduled.
	notifiedHosts uint64
	hostsPending  bool

	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// peer is the connection to one other controller. A value in urgent starts an exchange at once, one in trigger as soon
// as exchangeInterval has passed since the last one.
type peer struct {
	urgent  chan struct{}
	trigger chan struct{}
	cancel  context.CancelFunc
}

// Name implements kernel.Service.
func (x *Exchanger) Name() string { return "exchange" }

// Start loads the stored hosts and begins to exchange. It returns an error if the HTTP client can't be created.
func (x *Exchanger) Start(context.Context, kernel.Finder) error {
	client, err := x.Dialer.Client()
	if err != nil {
		return err
	}
	x.client = client
	x.gossip.Self, x.gossip.Region = x.Self, x.Region
	x.gossip.Run = rand.Uint64() | 1
	x.changed, x.acknowledged = make(chan struct{}), make(chan struct{})
	x.peers = map[string]*peer{}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	x.restoreLeaves()
	x.group.Go(x.maintain)
	x.loadHosts()
	if x.HostStore != nil {
		x.group.Go(x.saveHosts)
	}
	return nil
}

// Stop ends all exchanges and watch calls.
func (x *Exchanger) Stop(context.Context) error {
	if x.cancel != nil {
		x.cancel()
		x.group.Wait()
		x.client.CloseIdleConnections()
	}
	return nil
}

// Health implements kernel.Service. It returns a NoQuorumError while a majority of the voters can't be reached.
func (x *Exchanger) Health() error {
	if !x.hasQuorum(time.Now()) {
		return &NoQuorumError{}
	}
	return nil
}

// NotifyWatchers makes all watch calls in progress look for changes, for example after the routing state has changed.
func (x *Exchanger) NotifyWatchers() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.notifyWatchers()
}

// notifyWatchers closes the channel that watch calls wait on and replaces it. They receive all changes up to now. The
// caller holds the lock.
func (x *Exchanger) notifyWatchers() {
	x.shared.advance(x.gossip.Counter())
	if x.changed != nil {
		close(x.changed)
		x.changed = make(chan struct{})
	}
}

// maintain periodically updates the peers from the membership, removes what has expired and checks the quorum.
func (x *Exchanger) maintain() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		x.updatePeers()
		x.update(func(now time.Time) { x.gossip.Tick(now) })
		x.checkLink(time.Now())
		select {
		case <-x.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// update applies a change to the gossip state. It notifies watchers and peers of what they have to receive.
func (x *Exchanger) update(change func(now time.Time)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	before := x.gossip.Marks()
	change(time.Now())
	x.scheduleHostsNotification()
	after := x.gossip.Marks()
	if after.Urgent > before.Urgent {
		x.notifyWatchers()
	} else if after.Watched > before.Watched {
		x.scheduleOrdinaryNotification()
	}
	if after.Outgoing > before.Outgoing {
		x.triggerExchanges(after.UrgentOutgoing > before.UrgentOutgoing)
	}
}

// scheduleOrdinaryNotification schedules a notification of the watchers, unless one is scheduled. The caller holds the
// lock.
func (x *Exchanger) scheduleOrdinaryNotification() {
	if x.ordinaryPending {
		return
	}
	x.ordinaryPending = true
	time.AfterFunc(x.shared.ordinaryDelay(), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.ordinaryPending = false
		x.notifyWatchers()
	})
}

// triggerExchanges starts an exchange with each peer, at once if urgent is set. The caller holds the lock.
func (x *Exchanger) triggerExchanges(urgent bool) {
	for _, p := range x.peers {
		p.start(urgent)
	}
}

// start requests an exchange and does not block.
func (p *peer) start(urgent bool) {
	requested := p.trigger
	if urgent {
		requested = p.urgent
	}
	select {
	case requested <- struct{}{}:
	default:
	}
}

// updatePeers starts an exchange loop for each new member of the group other than this controller, and ends the loops
// of members that were removed.
func (x *Exchanger) updatePeers() {
	members := x.Consensus.Routing().Members
	x.mu.Lock()
	defer x.mu.Unlock()
	present := map[string]bool{}
	for _, m := range members {
		address, err := netip.ParseAddrPort(m.GetAddress())
		if m.GetName() == x.Self || err != nil {
			continue
		}
		present[m.GetName()] = true
		if _, ok := x.peers[m.GetName()]; !ok {
			ctx, cancel := context.WithCancel(x.ctx)
			p := &peer{make(chan struct{}, 1), make(chan struct{}, 1), cancel}
			x.peers[m.GetName()] = p
			x.group.Go(func() { x.exchangeLoop(ctx, m.GetName(), address, p) })
		}
	}
	for name, p := range x.peers {
		if !present[name] {
			p.cancel()
			delete(x.peers, name)
		}
	}
}

// exchangeLoop exchanges with one controller, when triggered and otherwise once a period. After a failed exchange it
// always waits for the period.
func (x *Exchanger) exchangeLoop(ctx context.Context, name string, address netip.AddrPort, p *peer) {
	client := wireconnect.NewExchangeClient(x.client, x.Dialer.URL(address))
	reachable := true
	for ctx.Err() == nil {
		started := time.Now()
		call, usage := dialer.WithUsage(ctx)
		err := x.exchange(call, client, name, p)
		if ctx.Err() == nil && (err == nil) != reachable {
			reachable = err == nil
			_ = level.Warn(x.Logger).Log("msg", "controller", "name", name, "reachable", reachable,
				"connection", usage, "took", time.Since(started), "err", err)
		}
		if err != nil {
			wait(ctx, time.Now().Add(gossiper.Period), nil)
			continue
		}
		p.awaitTrigger(ctx, started)
	}
}

// awaitTrigger waits until the next exchange is due.
func (p *peer) awaitTrigger(ctx context.Context, started time.Time) {
	timer := time.NewTimer(time.Until(started.Add(gossiper.Period)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.urgent:
	case <-timer.C:
	case <-p.trigger:
		wait(ctx, started.Add(exchangeInterval), p.urgent)
	}
}

// wait waits until a time, until ctx ends, or for a value in early.
func wait(ctx context.Context, until time.Time, early <-chan struct{}) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-early:
	case <-timer.C:
	}
}

// exchange makes one exchange with another controller, and requests the next one if this one could not hold everything.
func (x *Exchanger) exchange(ctx context.Context, client wireconnect.ExchangeClient, name string, p *peer) error {
	sent := time.Now()
	x.mu.Lock()
	request := x.gossip.BuildRequest(sent, name)
	x.mu.Unlock()
	request.Current = isCurrent(sent, x.Consensus.Confirmed())
	x.Counter.Add(counter.Exchanges, 1)
	x.Counter.Add(counter.ExchangedRecords, len(request.GetRecords()))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := client.Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gossip.HandleResponse(sent, name, response.Msg)
	if len(request.GetRecords()) > 0 {
		close(x.acknowledged)
		x.acknowledged = make(chan struct{})
	}
	if x.gossip.Pending(name) {
		p.start(request.GetPartial())
	}
	return nil
}

// Exchange implements the call from other controllers. It returns without an error only once the leaves of targets in the
// request are on the disk.
func (x *Exchanger) Exchange(
	ctx context.Context, r *connect.Request[wire.ExchangeRequest],
) (*connect.Response[wire.ExchangeResponse], error) {
	x.Counter.Add(counter.Received, 1)
	var response *wire.ExchangeResponse
	x.update(func(now time.Time) {
		before := x.gossip.Counter()
		response = x.gossip.HandleRequest(now, r.Msg)
		x.logDepartures(r.Msg, before)
	})
	if err := x.saveLeaves(ctx, r.Msg.GetRecords()); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// logDepartures logs the targets that are out of use according to a request and were in use here before it. The caller
// holds the lock.
func (x *Exchanger) logDepartures(r *wire.ExchangeRequest, before uint64) {
	for _, record := range r.GetRecords() {
		if record.GetState() == wire.TargetState_TARGET_READY || x.gossip.LastChange(record.GetName()) <= before {
			continue
		}
		_ = level.Info(x.Logger).Log("msg", "target leaves", "target", record.GetName(), "incarnation",
			record.GetIncarnation(), "state", record.GetState(), "from", r.GetFrom(), "records", len(r.GetRecords()))
	}
}

// Package exchanger is the service that shares announcements of targets and sightings of entry instances with the
// other controllers, and tells entry instances what is new.
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
	"chervilrail.example/core/dialer"
	"chervilrail.example/core/gossiper"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	// callTimeout bounds one exchange: the longest round trip between regions and a retransmission fit.
	callTimeout = time.Second
	// watchHold is how long a watcher waits for news. It is also how often an entry instance is heard.
	watchHold = time.Second
	// bindTimeout is how long a leaving target waits for most controllers; it asks elsewhere after a second.
	bindTimeout = 900 * time.Millisecond
	tickEvery   = 200 * time.Millisecond
)

// Consensus gives the replicated routing state.
type Consensus interface {
	Routing() *consenter.Routing
}

// Exchanger is the service. Set the exported fields before Start.
type Exchanger struct {
	Self      string
	Region    string
	Consensus Consensus
	Dialer    *dialer.Dialer
	// HostStore keeps the hosts of objects over restarts; nil keeps none.
	HostStore HostStore
	Logger    log.Logger

	mu     sync.Mutex
	gossip gossiper.Gossiper
	news   chan struct{}
	peers  map[string]*link
	// wasLinked is what watchers were last told.
	wasLinked bool
	// hostsTold is the count of hosts that watchers were last woken for; hostsSoon: they will be in a while.
	hostsTold uint64
	hostsSoon bool

	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// link is the way to one other controller.
type link struct {
	kick   chan struct{}
	cancel context.CancelFunc
}

// Name implements kernel.Service.
func (x *Exchanger) Name() string { return "exchange" }

// Start begins to exchange.
func (x *Exchanger) Start(context.Context, kernel.Finder) error {
	client, err := x.Dialer.Client()
	if err != nil {
		return err
	}
	x.client = client
	x.gossip.Self, x.gossip.Region = x.Self, x.Region
	x.gossip.Run = rand.Uint64() | 1
	x.news = make(chan struct{})
	x.peers = map[string]*link{}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	x.group.Go(x.keep)
	x.remember()
	if x.HostStore != nil {
		x.group.Go(x.save)
	}
	return nil
}

// Stop ends all exchanges.
func (x *Exchanger) Stop(context.Context) error {
	if x.cancel != nil {
		x.cancel()
		x.group.Wait()
		x.client.CloseIdleConnections()
	}
	return nil
}

// Health implements kernel.Service.
func (x *Exchanger) Health() error {
	if !x.linked(time.Now()) {
		return &UnlinkedError{}
	}
	return nil
}

// NotifyWatchers tells watchers that the routing state has changed.
func (x *Exchanger) NotifyWatchers() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.wake()
}

func (x *Exchanger) wake() {
	if x.news != nil {
		close(x.news)
		x.news = make(chan struct{})
	}
}

// keep drops what has timed out and follows the membership.
func (x *Exchanger) keep() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		x.follow()
		x.update(func(now time.Time) { x.gossip.Tick(now) })
		x.noticeLink(time.Now())
		select {
		case <-x.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// noticeLink wakes the watchers when this controller loses touch with most of the others, so that they turn to another
// one at once: what is decided there meanwhile, such as that a target leaves, binds them.
func (x *Exchanger) noticeLink(now time.Time) {
	linked := x.linked(now)
	x.mu.Lock()
	defer x.mu.Unlock()
	if linked == x.wasLinked {
		return
	}
	x.wasLinked = linked
	_ = level.Warn(x.Logger).Log("msg", "link to most controllers", "linked", linked)
	x.wake()
}

// update changes the picture and tells watchers and peers if that made news.
func (x *Exchanger) update(change func(now time.Time)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	before := x.gossip.Counter()
	change(time.Now())
	x.noticeHosts()
	if x.gossip.Counter() == before {
		return
	}
	x.wake()
	for _, l := range x.peers {
		select {
		case l.kick <- struct{}{}:
		default:
		}
	}
}

// follow keeps one link to every other member of the group.
func (x *Exchanger) follow() {
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
			l := &link{make(chan struct{}, 1), cancel}
			x.peers[m.GetName()] = l
			x.group.Go(func() { x.talk(ctx, m.GetName(), address, l) })
		}
	}
	for name, l := range x.peers {
		if !present[name] {
			l.cancel()
			delete(x.peers, name)
		}
	}
}

// talk exchanges with one controller, at once when there is news and else once a period.
func (x *Exchanger) talk(ctx context.Context, name string, address netip.AddrPort, l *link) {
	client := wireconnect.NewExchangeClient(x.client, x.Dialer.URL(address))
	reachable := true
	for ctx.Err() == nil {
		err := x.exchange(ctx, client, name)
		if ctx.Err() == nil && (err == nil) != reachable {
			reachable = err == nil
			_ = level.Warn(x.Logger).Log("msg", "controller", "name", name, "reachable", reachable, "err", err)
		}
		timer := time.NewTimer(gossiper.Period)
		select {
		case <-ctx.Done():
		case <-l.kick:
			if err != nil {
				<-timer.C
			}
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (x *Exchanger) exchange(ctx context.Context, client wireconnect.ExchangeClient, name string) error {
	sent := time.Now()
	x.mu.Lock()
	request := x.gossip.BuildRequest(sent, name)
	x.mu.Unlock()
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
		x.wake()
	}
	return nil
}

// Exchange implements the service between controllers.
func (x *Exchanger) Exchange(
	_ context.Context, r *connect.Request[wire.ExchangeRequest],
) (*connect.Response[wire.ExchangeResponse], error) {
	var response *wire.ExchangeResponse
	x.update(func(now time.Time) { response = x.gossip.HandleRequest(now, r.Msg) })
	return connect.NewResponse(response), nil
}

// linked reports whether this controller lately reached most of the voters.
func (x *Exchanger) linked(now time.Time) bool {
	voters := x.Consensus.Routing().Voters()
	x.mu.Lock()
	defer x.mu.Unlock()
	return most(voters, func(name string) bool { return x.gossip.Reachable(now, name) })
}

func most(voters []string, holds func(name string) bool) bool {
	n := 0
	for _, name := range voters {
		if holds(name) {
			n++
		}
	}
	return n > len(voters)/2
}

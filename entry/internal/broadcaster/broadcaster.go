// Package broadcaster exchanges announcements and losses with the other entry instances.
package broadcaster

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

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/core/stopper"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
	"chervilrail.example/entry/internal/directory"
)

const (
	// batchDelay is how long announcements and losses are collected before they are sent together.
	batchDelay  = 25 * time.Millisecond
	callTimeout = time.Second
	// exchangeInterval is how often all records are exchanged with one other instance, so that records whose broadcast
	// was lost still arrive.
	exchangeInterval = 2 * time.Second
	// checkInterval is how often the list of peers is checked for instances to exchange with.
	checkInterval = 200 * time.Millisecond
	// minCompressedBytes is the size from which compressing a message is worth the time.
	minCompressedBytes = 4 << 10
	maxMessageBytes    = 32 << 20
)

// Register stores the announcements of targets.
type Register interface {
	View() *directory.View
	Merge(ctx context.Context, records []*wire.Record) error
	Records(ctx context.Context) ([]*wire.Record, error)
}

// Broadcaster is the exchange service. Set the exported fields before Start.
type Broadcaster struct {
	Instance   string
	Dialer     *dialer.Dialer
	Register   Register
	Quarantine *quarantiner.Quarantiner
	Logger     log.Logger

	mu      sync.Mutex
	records map[string]*wire.Record
	losses  []*wire.Loss
	wake    chan struct{}
	client  *http.Client
	cancel  context.CancelFunc
	group   sync.WaitGroup
	// calls are the broadcasts in progress; cancelCalls ends them.
	calls       sync.WaitGroup
	callContext context.Context
	cancelCalls context.CancelFunc
	// exchanged holds the instances with which a full exchange was attempted since this instance started.
	exchanged map[string]bool
}

// Name implements kernel.Service.
func (s *Broadcaster) Name() string { return "sharer" }

// Start starts the broadcasts and the periodic exchange. It fails if the HTTP client can't be created.
func (s *Broadcaster) Start(context.Context, kernel.Finder) error {
	client, err := s.Dialer.Client()
	if err != nil {
		return err
	}
	s.client = client
	s.records = map[string]*wire.Record{}
	s.exchanged = map[string]bool{}
	s.wake = make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.callContext, s.cancelCalls = context.WithCancel(context.Background())
	s.group.Go(func() { s.broadcastLoop(ctx) })
	s.group.Go(func() { s.exchangeLoop(ctx) })
	return nil
}

// Stop ends the exchange, broadcasts what is queued, as it was acknowledged, and waits for broadcasts in progress, until the
// deadline Cut at the latest.
func (s *Broadcaster) Stop(ctx context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	s.group.Wait()
	limit := time.AfterFunc(time.Until(stopper.FromContext(ctx).Cut), s.cancelCalls)
	defer limit.Stop()
	if r := s.takePending(); len(r.GetRecords())+len(r.GetLosses()) > 0 {
		s.sendAll(r)
	}
	s.calls.Wait()
	s.cancelCalls()
	s.client.CloseIdleConnections()
	return nil
}

// Health implements kernel.Service.
func (s *Broadcaster) Health() error { return nil }

// BroadcastRecords queues announcements for the other instances; only the newest one of each target is sent.
func (s *Broadcaster) BroadcastRecords(records []*wire.Record) {
	s.mu.Lock()
	for _, r := range records {
		s.records[r.GetName()] = r
	}
	s.mu.Unlock()
	s.signal()
}

// BroadcastLoss queues a loss, or a success that clears one, for the other instances.
func (s *Broadcaster) BroadcastLoss(l *wire.Loss) {
	s.mu.Lock()
	s.losses = append(s.losses, l)
	s.mu.Unlock()
	s.signal()
}

func (s *Broadcaster) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Broadcaster) broadcastLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(batchDelay):
		}
		s.sendAll(s.takePending())
	}
}

func (s *Broadcaster) takePending() *wire.ShareRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &wire.ShareRequest{Losses: s.losses}
	for _, r := range s.records {
		out.Records = append(out.Records, r)
	}
	s.records = map[string]*wire.Record{}
	s.losses = nil
	return out
}

// sendAll calls all peers concurrently, so that one that hangs does not delay the others.
func (s *Broadcaster) sendAll(r *wire.ShareRequest) {
	for _, address := range s.peers() {
		s.calls.Go(func() { _, _ = s.call(s.callContext, address, r) })
	}
}

// peers returns the addresses of the other entry instances by name; lost ones are left out.
func (s *Broadcaster) peers() map[string]netip.AddrPort {
	out := map[string]netip.AddrPort{}
	v := s.Register.View()
	if v == nil {
		return out
	}
	for _, n := range v.Roster {
		address, err := netip.ParseAddrPort(n.GetPeer())
		if err != nil || n.GetName() == s.Instance || n.GetLost() {
			continue
		}
		out[n.GetName()] = address
	}
	return out
}

func (s *Broadcaster) call(
	ctx context.Context, address netip.AddrPort, r *wire.ShareRequest,
) (*wire.ShareResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := wireconnect.NewPeersClient(s.client, s.Dialer.URL(address))
	response, err := client.Share(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (s *Broadcaster) exchangeLoop(ctx context.Context) {
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(checkInterval):
		}
		if name, address, ok := s.pickPeer(time.Now().After(next)); ok {
			s.exchange(ctx, name, address)
			next = time.Now().Add(exchangeInterval)
		}
	}
}

// pickPeer returns an instance that had no full exchange yet, or, if due, one chosen at random.
func (s *Broadcaster) pickPeer(due bool) (string, netip.AddrPort, bool) {
	peers := s.peers()
	for name, address := range peers {
		if !s.exchanged[name] {
			return name, address, true
		}
	}
	if !due || len(peers) == 0 {
		return "", netip.AddrPort{}, false
	}
	skip := rand.IntN(len(peers))
	for name, address := range peers {
		if skip == 0 {
			return name, address, true
		}
		skip--
	}
	return "", netip.AddrPort{}, false
}

func (s *Broadcaster) exchange(ctx context.Context, name string, address netip.AddrPort) {
	s.exchanged[name] = true
	records, err := s.Register.Records(ctx)
	if err != nil {
		return
	}
	response, err := s.call(ctx, address, &wire.ShareRequest{Records: records, Whole: true})
	if err != nil {
		_ = level.Debug(s.Logger).Log("msg", "exchange failed", "peer", name, "err", err)
		return
	}
	_ = s.Register.Merge(ctx, response.GetRecords())
}

// Handler returns the handler for calls of other instances.
func (s *Broadcaster) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewPeersHandler(s,
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressedBytes)))
	return mux
}

// Share implements the exchange between entry instances.
func (s *Broadcaster) Share(
	ctx context.Context, r *connect.Request[wire.ShareRequest],
) (*connect.Response[wire.ShareResponse], error) {
	now := time.Now()
	for _, l := range r.Msg.GetLosses() {
		s.applyLoss(now, l)
	}
	if err := s.Register.Merge(ctx, r.Msg.GetRecords()); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &wire.ShareResponse{}
	if r.Msg.GetWhole() {
		records, err := s.Register.Records(ctx)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		response.Records = records
	}
	return connect.NewResponse(response), nil
}

func (s *Broadcaster) applyLoss(now time.Time, l *wire.Loss) {
	var f quarantiner.Fingerprint
	if copy(f[:], l.GetFingerprint()) != len(f) {
		return
	}
	if l.GetSuccess() {
		s.Quarantine.RecordSuccess(now, f)
		return
	}
	s.Quarantine.RecordLoss(now, f, quarantiner.Run{Target: l.GetTarget(), Incarnation: l.GetIncarnation()})
}

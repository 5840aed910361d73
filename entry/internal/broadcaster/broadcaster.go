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
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
	"chervilrail.example/entry/internal/directory"
)

const (
	// gather is how long news wait for company.
	gather      = 25 * time.Millisecond
	callTimeout = time.Second
	// exchangeEvery is how often the whole register is compared with one other instance, so that what
	// was lost on the way still arrives.
	exchangeEvery = 2 * time.Second
	// lookEvery is how soon a new instance is greeted.
	lookEvery = 200 * time.Millisecond
	// compressFrom is the smallest message worth the time of compressing it.
	compressFrom = 4 << 10
	maxBytes     = 32 << 20
)

// Register is where announcements are kept.
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
	// greeted holds the instances whose whole register was taken since this one started.
	greeted map[string]bool
}

// Name implements kernel.Service.
func (s *Broadcaster) Name() string { return "sharer" }

// Start begins to exchange.
func (s *Broadcaster) Start(context.Context, kernel.Finder) error {
	client, err := s.Dialer.Client()
	if err != nil {
		return err
	}
	s.client = client
	s.records = map[string]*wire.Record{}
	s.greeted = map[string]bool{}
	s.wake = make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group.Go(func() { s.spread(ctx) })
	s.group.Go(func() { s.compare(ctx) })
	return nil
}

// Stop ends the exchange.
func (s *Broadcaster) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
		s.group.Wait()
		s.client.CloseIdleConnections()
	}
	return nil
}

// Health implements kernel.Service.
func (s *Broadcaster) Health() error { return nil }

// Spread queues announcements for the other instances; only the newest of each target goes out.
func (s *Broadcaster) Spread(records []*wire.Record) {
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

func (s *Broadcaster) spread(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(gather):
		}
		s.sendAll(ctx, s.take())
	}
}

func (s *Broadcaster) take() *wire.ShareRequest {
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

// sendAll calls the others side by side: one that hangs must not delay the news to the rest.
func (s *Broadcaster) sendAll(ctx context.Context, r *wire.ShareRequest) {
	for _, address := range s.peers() {
		s.group.Go(func() { _, _ = s.call(ctx, address, r) })
	}
}

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

func (s *Broadcaster) call(ctx context.Context, address netip.AddrPort, r *wire.ShareRequest) (*wire.ShareResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := wireconnect.NewPeersClient(s.client, s.Dialer.URL(address))
	response, err := client.Share(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (s *Broadcaster) compare(ctx context.Context) {
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lookEvery):
		}
		if name, address, ok := s.partner(time.Now().After(next)); ok {
			s.exchange(ctx, name, address)
			next = time.Now().Add(exchangeEvery)
		}
	}
}

// partner picks an instance not yet greeted, or when the time has come any other.
func (s *Broadcaster) partner(due bool) (string, netip.AddrPort, bool) {
	peers := s.peers()
	for name, address := range peers {
		if !s.greeted[name] {
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
	s.greeted[name] = true
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

// Handler returns the service that other instances call.
func (s *Broadcaster) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewPeersHandler(s,
		connect.WithReadMaxBytes(maxBytes), connect.WithCompressMinBytes(compressFrom)))
	return mux
}

// Share implements the exchange between entry instances.
func (s *Broadcaster) Share(
	ctx context.Context, r *connect.Request[wire.ShareRequest],
) (*connect.Response[wire.ShareResponse], error) {
	now := time.Now()
	for _, l := range r.Msg.GetLosses() {
		s.judge(now, l)
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

func (s *Broadcaster) judge(now time.Time, l *wire.Loss) {
	var f quarantiner.Fingerprint
	if copy(f[:], l.GetFingerprint()) != len(f) {
		return
	}
	if l.GetSuccess() {
		s.Quarantine.Succeed(now, f)
		return
	}
	s.Quarantine.Lose(now, f, quarantiner.Run{Target: l.GetTarget(), Incarnation: l.GetIncarnation()})
}

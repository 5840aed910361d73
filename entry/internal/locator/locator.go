// Package locator finds the target at which an object is warm. One entry instance of the region, the owner, answers for
// each object. All instances ask the same owner, so that they agree at once and each object has only one cold run.
package locator

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/partitioner"
	"chervilrail.example/core/placer"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	// answerTimeout is many times the usual response time of an instance of the same region. An instance that takes
	// longer is frozen or unreachable, and the request does not wait for it.
	answerTimeout = 100 * time.Millisecond
	// spendTimeout is the timeout of calls for which the other instance may have to call a controller first; it answers
	// within MaxSpendWait.
	spendTimeout = 350 * time.Millisecond
	// MaxSpendWait is how long a request of another instance waits for a part of a quota; the other instance then asks
	// again.
	MaxSpendWait = 150 * time.Millisecond
	// exclusionTime is how long an instance that did not answer is not called again. Each call to it delays a request.
	exclusionTime = time.Second
)

// Peer is an entry instance of the same region.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Assigner assigns targets to the objects that this instance owns.
type Assigner interface {
	Assign(now time.Time, service string, request placer.AssignRequest) placer.Assignment
}

// Spender counts requests of organisations whose parts of quotas this instance holds for its region.
type Spender interface {
	Spend(ctx context.Context, r *wire.SpendRequest) *wire.SpendResponse
}

// Locator calls other instances and answers their calls. Set the exported fields before Start.
type Locator struct {
	Self     string
	Dialer   *dialer.Dialer
	Assigner Assigner
	Spender  Spender
	Logger   log.Logger

	client *http.Client

	mu            sync.Mutex
	excludedUntil map[string]time.Time
}

// Name implements kernel.Service.
func (l *Locator) Name() string { return "locate" }

// Health implements kernel.Service.
func (l *Locator) Health() error { return nil }

// Start creates the HTTP client. It fails if the client can't be created.
func (l *Locator) Start(context.Context, kernel.Finder) error {
	client, err := l.Dialer.Client()
	if err != nil {
		return err
	}
	l.client = client
	l.excludedUntil = map[string]time.Time{}
	return nil
}

// Stop closes the idle connections to other instances.
func (l *Locator) Stop(context.Context) error {
	if l.client != nil {
		l.client.CloseIdleConnections()
	}
	return nil
}

// Owns reports whether this instance is an object's owner. Excluded instances own nothing.
func (l *Locator) Owns(peers []Peer, object uint64) bool {
	return l.Owner(peers, object).Name == l.Self
}

// Owner returns an object's owner. Excluded instances own nothing.
func (l *Locator) Owner(peers []Peer, object uint64) Peer { return l.owner(time.Now(), peers, object) }

// owner returns the owner of an object at a time: the instance with the highest weight that is not excluded.
func (l *Locator) owner(now time.Time, peers []Peer, object uint64) Peer {
	best, highest, key := Peer{Name: l.Self}, uint64(0), strconv.FormatUint(object, 16)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range peers {
		if p.Name != l.Self && now.Before(l.excludedUntil[p.Name]) {
			continue
		}
		if w := partitioner.Weight(key, p.Name); w > highest {
			best, highest = p, w
		}
	}
	return best
}

// Locate returns the target for a request for an object. An owner that does not answer is excluded for exclusionTime;
// the next owner continues with the hints in the requests of other instances.
func (l *Locator) Locate(
	ctx context.Context, peers []Peer, service string, request placer.AssignRequest,
) placer.Assignment {
	for range 2 {
		now := time.Now()
		owner := l.owner(now, peers, placer.ObjectHash(request.Object))
		if owner.Name == l.Self {
			break
		}
		assignment, err := l.call(ctx, owner, service, request)
		if err == nil {
			return assignment
		}
		if ctx.Err() != nil {
			return placer.Assignment{}
		}
		l.exclude(now, owner, err)
	}
	return l.Assigner.Assign(time.Now(), service, request)
}

func (l *Locator) exclude(now time.Time, owner Peer, err error) {
	l.mu.Lock()
	excluded := time.Now().Before(l.excludedUntil[owner.Name])
	l.excludedUntil[owner.Name] = now.Add(exclusionTime)
	l.mu.Unlock()
	if excluded {
		return
	}
	_ = level.Info(l.Logger).Log("msg", "entry instance does not answer", "peer", owner.Name, "address", owner.Address,
		"err", err)
}

func (l *Locator) call(
	ctx context.Context, owner Peer, service string, request placer.AssignRequest,
) (placer.Assignment, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	client := wireconnect.NewPlacementClient(l.client, l.Dialer.URL(owner.Address))
	response, err := client.Place(ctx, connect.NewRequest(&wire.PlaceRequest{
		Service: service, Object: request.Object, Route: request.Route, Hint: request.Hint,
		Cold: int64(request.ColdTime), Regions: request.Regions,
	}))
	if err != nil {
		return placer.Assignment{}, err
	}
	assignment := placer.Assignment{
		Target: response.Msg.GetTarget(), Reason: owner.Name, FirstRun: response.Msg.GetFirst(),
	}
	if warming := time.Duration(response.Msg.GetWarming()); warming > 0 {
		assignment.WarmAt = time.Now().Add(warming)
	}
	return assignment, nil
}

// Place implements the call by which another instance asks for an object's target.
func (l *Locator) Place(
	_ context.Context, r *connect.Request[wire.PlaceRequest],
) (*connect.Response[wire.PlaceResponse], error) {
	now := time.Now()
	assignment := l.Assigner.Assign(now, r.Msg.GetService(), placer.AssignRequest{
		Object: r.Msg.GetObject(), Route: r.Msg.GetRoute(), Hint: r.Msg.GetHint(),
		ColdTime: time.Duration(r.Msg.GetCold()), Regions: r.Msg.GetRegions(),
	})
	return connect.NewResponse(&wire.PlaceResponse{
		Target: assignment.Target, First: assignment.FirstRun, Warming: int64(warming(now, assignment)),
	}), nil
}

// SpendAt calls the owner of an organisation's part to count a request, or to return one that was counted.
func (l *Locator) SpendAt(ctx context.Context, owner Peer, r *wire.SpendRequest) (*wire.SpendResponse, error) {
	now := time.Now()
	bounded, cancel := context.WithTimeout(ctx, spendTimeout)
	defer cancel()
	client := wireconnect.NewPlacementClient(l.client, l.Dialer.URL(owner.Address))
	response, err := client.Spend(bounded, connect.NewRequest(r))
	if err == nil {
		return response.Msg, nil
	}
	if ctx.Err() == nil {
		l.exclude(now, owner, err)
	}
	return nil, err
}

// Spend implements the call by which another instance counts a request, or returns one.
func (l *Locator) Spend(
	ctx context.Context, r *connect.Request[wire.SpendRequest],
) (*connect.Response[wire.SpendResponse], error) {
	return connect.NewResponse(l.Spender.Spend(ctx, r.Msg)), nil
}

func warming(now time.Time, assignment placer.Assignment) time.Duration {
	if assignment.WarmAt.IsZero() {
		return 0
	}
	return max(0, assignment.WarmAt.Sub(now))
}

// Handler returns the handler for calls of other instances.
func (l *Locator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewPlacementHandler(l, connect.WithCompressMinBytes(dialer.MinCompressedSize)))
	return mux
}

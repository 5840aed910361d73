package locator

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/placer"
	"chervilrail.example/core/wire"
)

// fakeAssigner assigns the same target to every object, and records what it was asked.
type fakeAssigner struct {
	mu       sync.Mutex
	target   string
	warmAt   time.Time
	requests []placer.AssignRequest
}

func (b *fakeAssigner) Assign(_ time.Time, _ string, request placer.AssignRequest) placer.Assignment {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, request)
	return placer.Assignment{Target: b.target, WarmAt: b.warmAt}
}

func startLocator(t *testing.T, name string, b *fakeAssigner) *Locator {
	t.Helper()
	l := &Locator{Self: name, Dialer: &dialer.Dialer{HTTP1Only: true}, Assigner: b, Logger: log.NewNopLogger()}
	is.New(t).NoErr(l.Start(context.Background(), nil))
	t.Cleanup(func() { is.New(t).NoErr(l.Stop(context.Background())) })
	return l
}

func serve(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// objectOwnedBy returns an object that an instance owns.
func objectOwnedBy(l *Locator, peers []Peer, owner string) string {
	for i := 0; ; i++ {
		if object := fmt.Sprint(i); l.owner(time.Now(), peers, placer.ObjectHash(object)).Name == owner {
			return object
		}
	}
}

// Guards against an object that runs cold at two targets. Two instances get requests for the same object, and would
// choose different targets if each decided by the load that it knows.
func TestInstancesAgree(t *testing.T) {
	is := is.New(t)
	one, two := &fakeAssigner{target: "t1"}, &fakeAssigner{target: "t2", warmAt: time.Now().Add(time.Minute)}
	a, b := startLocator(t, "a", one), startLocator(t, "b", two)
	peers := []Peer{{"a", serve(t, a.Handler())}, {"b", serve(t, b.Handler())}}
	for _, owner := range []string{"a", "b"} {
		request := placer.AssignRequest{
			Object: objectOwnedBy(a, peers, owner), Route: "r", Hint: "h",
			ColdTime: time.Second, Regions: []string{"x"},
		}
		first, second := a.Locate(t.Context(), peers, "s", request), b.Locate(t.Context(), peers, "s", request)
		is.Equal(first.Target, second.Target)
		is.Equal(first.WarmAt.IsZero(), second.WarmAt.IsZero())
		is.Equal(first.Target, map[string]string{"a": "t1", "b": "t2"}[owner])
		is.True(a.Owns(peers, placer.ObjectHash(request.Object)) == (owner == "a"))
	}
	is.Equal(one.requests[0], one.requests[1])
	is.Equal(two.requests[0].Regions, []string{"x"})
}

// Guards against requests that all wait for an owner that hangs. It is excluded after the first request, and another
// instance answers.
func TestUnresponsiveInstanceIsExcluded(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	hanging := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })
	b := &fakeAssigner{target: "t1"}
	l := startLocator(t, "a", b)
	peers := []Peer{{"a", netip.AddrPort{}}, {"silent", serve(t, hanging)}}
	t.Cleanup(func() { close(release) })
	object := objectOwnedBy(l, peers, "silent")
	start := time.Now()
	for range 20 {
		is.Equal(l.Locate(t.Context(), peers, "s", placer.AssignRequest{Object: object, Hint: "t9"}).Target, "t1")
	}
	is.True(time.Since(start) < exclusionTime)
	is.Equal(b.requests[0].Hint, "t9")
	is.True(l.Owns(peers, placer.ObjectHash(object)))
}

// Guards against requests that fail because the owner can't be reached: an instance may be known before it serves its
// peers, or without its address.
func TestUnreachableInstanceIsExcluded(t *testing.T) {
	is := is.New(t)
	l := startLocator(t, "a", &fakeAssigner{target: "t1"})
	peers := []Peer{{"a", netip.AddrPort{}}, {"closed", netip.MustParseAddrPort("127.0.0.1:1")}}
	object := objectOwnedBy(l, peers, "closed")
	is.Equal(l.Locate(t.Context(), peers, "s", placer.AssignRequest{Object: object}).Target, "t1")
	t.Run("alone", func(t *testing.T) {
		is.New(t).Equal(l.Locate(t.Context(), nil, "s", placer.AssignRequest{Object: object}).Target, "t1")
	})
}

// Guards against an instance that is excluded, and its parts of quotas with it, because the caller of the request has
// disconnected.
func TestCancelledCallDoesNotExcludeTheInstance(t *testing.T) {
	for name, cancelled := range map[string]bool{"leaves": true, "stays": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			release := make(chan struct{})
			hanging := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })
			l := startLocator(t, "a", &fakeAssigner{})
			peers := []Peer{{"a", netip.AddrPort{}}, {"slow", serve(t, hanging)}}
			t.Cleanup(func() { close(release) })
			object := placer.ObjectHash(objectOwnedBy(l, peers, "slow"))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if cancelled {
				time.AfterFunc(spendTimeout/4, cancel)
			}
			_, err := l.SpendAt(ctx, peers[1], &wire.SpendRequest{})
			is.True(err != nil)
			is.Equal(l.Owner(peers, object).Name == "slow", cancelled)
		})
	}
}

// Guards against thousands of log lines in the second after an instance has failed: only one reports that it does not
// answer.
func TestUnresponsiveInstanceIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var lines atomic.Int32
	l := startLocator(t, "a", &fakeAssigner{})
	l.Logger = log.LoggerFunc(func(...any) error { lines.Add(1); return nil })
	dead := Peer{"dead", netip.MustParseAddrPort("127.0.0.1:1")}
	for range 20 {
		_, err := l.SpendAt(t.Context(), dead, &wire.SpendRequest{})
		is.True(err != nil)
	}
	is.Equal(lines.Load(), int32(1))
}

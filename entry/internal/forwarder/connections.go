package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chervilrail.example/core/balancer"
	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/granter"
	"chervilrail.example/core/listener"
	"chervilrail.example/core/resetter"
	"chervilrail.example/entry/internal/directory"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout is how long idle connections for requests that may repeat are kept open.
	idleTimeout = 90 * time.Second
	// onceIdleTimeout is the same for requests that must not repeat. It is short, because a device on the path may have
	// dropped its state of a connection that was idle for long; the outcome of a request sent on it would be unknown.
	onceIdleTimeout = time.Second
	// headerTimeout bounds the wait for the response to an upload after its last byte.
	headerTimeout     = 2 * time.Minute
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before the connection is closed.
	unacknowledgedTimeout = 5 * time.Second
	bufferSize            = 32 << 10
)

// connections holds the connections to all targets.
type connections struct {
	region string
	holder *granter.Holder

	mu       sync.Mutex
	byTarget map[*balancer.Target]*transports
}

// transports holds the connections to one target, separated by use.
type transports struct {
	plain *http.Transport
	once  *http.Transport
	bulk  *http.Transport
}

func (l *connections) transport(target *balancer.Target, class cataloguer.Class) *http.Transport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byTarget == nil {
		l.byTarget = map[*balancer.Target]*transports{}
	}
	o, ok := l.byTarget[target]
	if !ok {
		o = &transports{
			plain: l.newTransport(target, idleTimeout, false),
			once:  l.newTransport(target, onceIdleTimeout, false),
			bulk:  l.newTransport(target, idleTimeout, true),
		}
		l.byTarget[target] = o
	}
	switch class {
	case cataloguer.Once:
		return o.once
	case cataloguer.Upload:
		return o.bulk
	case cataloguer.Urgent, cataloguer.Browse:
	}
	return o.plain
}

func (l *connections) newTransport(target *balancer.Target, idle time.Duration, bulk bool) *http.Transport {
	dialer := &resetter.Dialer{Dialer: net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}}
	t := &http.Transport{
		MaxIdleConnsPerHost: int(target.Slots),
		IdleConnTimeout:     idle,
		DisableCompression:  true,
		WriteBufferSize:     bufferSize,
		ReadBufferSize:      bufferSize,
		// Bytes without end in place of a head would otherwise take megabytes for each attempt.
		MaxResponseHeaderBytes: listener.MaxHeader,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			conn := newEarlyConn(raw)
			if target.Region == l.region {
				return conn, nil
			}
			return &pacedConn{
				Conn:   conn,
				holder: l.holder,
				out:    cataloguer.LinkResource(l.region, target.Region),
				in:     cataloguer.LinkResource(target.Region, l.region),
				bulk:   bulk,
			}, nil
		},
	}
	if bulk {
		t.ResponseHeaderTimeout = headerTimeout
	}
	return t
}

// setUserTimeout makes the operating system close a connection whose sent bytes stay unacknowledged. A device on the
// path may have dropped its state of the connection; without the limit, requests would be lost on it for a quarter of
// an hour.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(unacknowledgedTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failure
}

// sweep closes the connections to targets that have left the view and have no outstanding requests.
func (l *connections) sweep(v *directory.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := map[*balancer.Target]bool{}
	for _, p := range v.Pools {
		for _, t := range p.Tiers {
			for _, u := range t.Targets {
				present[u] = true
			}
		}
	}
	for u, o := range l.byTarget {
		if !present[u] && u.Outstanding() == 0 {
			o.close()
			delete(l.byTarget, u)
		}
	}
}

// closeIdle closes the idle connections to a target, so that the next request opens a new one.
func (l *connections) closeIdle(target *balancer.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.byTarget[target]; ok {
		o.close()
	}
}

func (o *transports) close() {
	o.plain.CloseIdleConnections()
	o.once.CloseIdleConnections()
	o.bulk.CloseIdleConnections()
}

func (l *connections) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.byTarget {
		o.close()
	}
}

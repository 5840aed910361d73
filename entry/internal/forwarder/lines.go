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
	"chervilrail.example/core/resetter"
	"chervilrail.example/entry/internal/directory"
)

const (
	dialTimeout = 2 * time.Second
	// idleLife closes kept connections of requests that may repeat.
	idleLife = 90 * time.Second
	// onceIdleLife is short: a connection that has been quiet for long may have been forgotten by
	// something in between, and a booking sent into it would end unknown.
	onceIdleLife = time.Second
	// headerPatience bounds the wait for an upload's answer after its last byte.
	headerPatience = 2 * time.Minute
	keepIdle       = 2 * time.Second
	keepInterval   = time.Second
	keepCount      = 3
	// unacknowledged is how long sent bytes may stay unacknowledged before the connection is given up.
	unacknowledged = 5 * time.Second
	bufferSize     = 32 << 10
)

// lines holds the connections to targets.
type lines struct {
	region string
	holder *granter.Holder

	mu   sync.Mutex
	open map[*balancer.Target]*line
}

// line is one target's connections, apart by how they are used.
type line struct {
	plain *http.Transport
	once  *http.Transport
	bulk  *http.Transport
}

func (l *lines) transport(u *balancer.Target, class cataloguer.Class) *http.Transport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[*balancer.Target]*line{}
	}
	o, ok := l.open[u]
	if !ok {
		o = &line{
			plain: l.dialTo(u, idleLife, false),
			once:  l.dialTo(u, onceIdleLife, false),
			bulk:  l.dialTo(u, idleLife, true),
		}
		l.open[u] = o
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

func (l *lines) dialTo(u *balancer.Target, idle time.Duration, bulk bool) *http.Transport {
	dialer := &resetter.Dialer{Dialer: net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount,
		},
		Control: limitSilence,
	}}
	t := &http.Transport{
		MaxIdleConnsPerHost: int(u.Slots),
		IdleConnTimeout:     idle,
		DisableCompression:  true,
		WriteBufferSize:     bufferSize,
		ReadBufferSize:      bufferSize,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil || u.Region == l.region {
				return conn, err
			}
			return &pacedConn{
				Conn:   conn,
				holder: l.holder,
				out:    cataloguer.LinkResource(l.region, u.Region),
				in:     cataloguer.LinkResource(u.Region, l.region),
				bulk:   bulk,
			}, nil
		},
	}
	if bulk {
		t.ResponseHeaderTimeout = headerPatience
	}
	return t
}

// limitSilence makes the kernel give a connection up when what was sent stays unacknowledged. Something
// between the two ends may have lost track of it: requests would vanish in it for a quarter of an hour.
func limitSilence(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(unacknowledged/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failure
}

// sweep closes the connections to targets that are gone and have nothing outstanding.
func (l *lines) sweep(v *directory.View) {
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
	for u, o := range l.open {
		if !present[u] && u.Outstanding() == 0 {
			o.close()
			delete(l.open, u)
		}
	}
}

// retire drops the idle connections to a target, so that the next request opens a new one.
func (l *lines) retire(u *balancer.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.open[u]; ok {
		o.close()
	}
}

func (o *line) close() {
	o.plain.CloseIdleConnections()
	o.once.CloseIdleConnections()
	o.bulk.CloseIdleConnections()
}

func (l *lines) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.open {
		o.close()
	}
}

// Package listener provides an HTTP server on one address as a service of package kernel.
package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/closer"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/prober"
	"chervilrail.example/core/securer"
	"chervilrail.example/core/stopper"
)

const (
	// HeaderTimeout bounds how long a caller may take to send its request header.
	HeaderTimeout = 10 * time.Second
	// IdleTimeout is how long a connection may be idle before it is closed.
	IdleTimeout = 2 * time.Minute
	// MaxHeader is the largest request header in bytes.
	MaxHeader = 64 << 10
)

// Listener is an HTTP server. Set the exported fields before Start. Keys may be nil for no TLS.
type Listener struct {
	ServiceName string
	Address     netip.AddrPort
	Handler     http.Handler
	Keys        *securer.Keys
	Logger      log.Logger
	// Bound limits the open connections, possibly together with those of other listeners; nil stands for no limit.
	Bound *Bound
	// Closer closes the connections. It has to stop after the listener; nil stands for one that stops with it.
	Closer *closer.Closer
	// EndRequests is set if the contexts of requests are to end at the deadline End of a planned stop, so that their handlers
	// can still answer.
	EndRequests bool

	server *http.Server
	socket *closer.Socket
	// ownCloser is set if Closer was nil.
	ownCloser bool

	serving atomic.Bool
	// served is closed once no further connection is accepted.
	served chan struct{}
	// open is the number of connections that are open, accepted the number of all since Start.
	open     atomic.Int64
	accepted atomic.Int64
	// stopping is set by Stop.
	stopping atomic.Bool
	// cancel cancels the contexts of all requests.
	cancel context.CancelFunc
	// leave guards against leaving twice.
	leave sync.Once
}

// Name implements kernel.Service; it returns ServiceName.
func (l *Listener) Name() string { return l.ServiceName }

// Start implements kernel.Service: it listens on the address and serves in a goroutine.
func (l *Listener) Start(context.Context, kernel.Finder) error {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	base, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.server = &http.Server{
		Handler:           http.HandlerFunc(l.handle),
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    MaxHeader,
		Protocols:         protocols,
		BaseContext:       func(net.Listener) context.Context { return base },
		ConnContext:       withConn,
		ConnState:         l.observe,
	}
	if l.Keys != nil {
		config, err := l.Keys.ServerConfig()
		if err != nil {
			return err
		}
		l.server.TLSConfig = config
	}
	socket, err := net.Listen("tcp", l.Address.String())
	if err != nil {
		return err
	}
	if l.Bound != nil {
		socket = &boundedListener{socket, l.Bound}
	}
	if l.Closer == nil {
		l.Closer, l.ownCloser = &closer.Closer{Logger: l.Logger}, true
	}
	l.socket = &closer.Socket{
		Listener: socket, Closer: l.Closer, Service: l.ServiceName, Encrypted: l.Keys != nil, OnClose: l.release,
	}
	l.serving.Store(true)
	l.served = make(chan struct{})
	go l.serve(l.socket)
	return nil
}

// release returns a connection's descriptor to the bound.
func (l *Listener) release() {
	if l.Bound != nil {
		l.Bound.open.Add(-1)
	}
}

// handle serves a request unless its connection has been closed since it was read.
func (l *Listener) handle(w http.ResponseWriter, r *http.Request) {
	c, ok := connection(r.Context()).(*closer.Conn)
	if !ok {
		l.Handler.ServeHTTP(w, r)
		return
	}
	if r.ProtoMajor == 1 {
		if !c.BeginRequest(r.ContentLength) {
			panic(http.ErrAbortHandler)
		}
		defer c.EndRequest()
	}
	a := &answer{ResponseWriter: w, conn: c}
	l.Handler.ServeHTTP(a, r)
	a.begin()
}

func (l *Listener) serve(socket net.Listener) {
	defer close(l.served)
	defer l.serving.Store(false)
	var err error
	if l.server.TLSConfig != nil {
		err = l.server.ServeTLS(socket, "", "")
	} else {
		err = l.server.Serve(socket)
	}
	if !errors.Is(err, http.ErrServerClosed) && !l.stopping.Load() {
		_ = level.Error(l.Logger).Log("msg", "listener failed", "service", l.ServiceName, "err", err)
	}
}

// observe keeps count of the connections, and tells them when they are idle. The server calls it with each change of a
// connection's state.
func (l *Listener) observe(c net.Conn, state http.ConnState) {
	if accepted, ok := withoutTLS(c).(*closer.Conn); ok {
		accepted.SetIdle(state == http.StateNew || state == http.StateIdle)
	}
	switch state {
	case http.StateNew:
		l.open.Add(1)
		l.accepted.Add(1)
	case http.StateClosed, http.StateHijacked:
		l.open.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// Connections returns how many connections are open, and how many have been accepted since Start.
func (l *Listener) Connections() (open, accepted int64) { return l.open.Load(), l.accepted.Load() }

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connection returns the connection below TLS of the request with context ctx, or nil.
func connection(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return withoutTLS(c)
}

// withoutTLS returns the connection below TLS.
func withoutTLS(c net.Conn) net.Conn {
	if encrypted, ok := c.(*tls.Conn); ok {
		return encrypted.NetConn()
	}
	return c
}

// CallerDisconnected reports whether the caller of the request with context ctx has closed its connection. It also
// checks the socket, as the server detects the close only some time after it has read the request. When the process
// resumes after a suspension, both may be waiting in the kernel.
func CallerDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c := connection(ctx)
	return c != nil && prober.Closed(c)
}

// Leave asks callers to leave while requests are still served: each further answer closes its connection, unless more
// requests had arrived on it before. It may be called before Stop, and only after Start.
func (l *Listener) Leave() {
	l.leave.Do(func() {
		l.Closer.Leave()
		l.socket.Leave()
	})
}

// pollInterval is how often a planned stop looks whether all requests have ended.
const pollInterval = 5 * time.Millisecond

// unusedGrace is how long a planned stop leaves unused connections open, for requests that are on their way.
const unusedGrace = 100 * time.Millisecond

// lateTime is how long requests may still end once their time is over: the process may have stood still until then.
const lateTime = 20 * time.Millisecond

// Stop implements kernel.Service: it refuses new connections and waits for the requests in progress and those that have
// arrived. It cuts those that have not ended at the deadline Cut of the stop, and returns a CutError. With EndRequests, their
// contexts end before that.
func (l *Listener) Stop(ctx context.Context) error {
	if l.server == nil {
		return nil
	}
	if l.ownCloser {
		defer func() { _ = l.Closer.Stop(ctx) }() // always returns nil
	}
	deadlines := stopper.FromContext(ctx)
	limited, cancel := context.WithDeadline(ctx, deadlines.Cut)
	defer cancel()
	if l.EndRequests {
		defer time.AfterFunc(time.Until(deadlines.End), l.cancel).Stop()
	}
	l.Leave()
	l.stopping.Store(true)
	_ = l.socket.Close()
	<-l.served // the last connections are accepted, and their requests awaited
	// Once the server shuts down, it reads requests and drops them.
	err := l.awaitRequests(limited)
	if err == nil {
		err = l.shutDown(limited)
	}
	if err == nil {
		return nil
	}
	open, _ := l.Connections()
	_ = level.Warn(l.Logger).Log("msg", "requests cut by the stop", "service", l.ServiceName, "connections", open)
	l.cancel() // the server does not cancel those with further requests behind them
	l.socket.Cut()
	_ = l.server.Close()
	return &CutError{Listener: l.ServiceName, Connections: open, Cause: err}
}

// awaitRequests closes connections as they become idle, until no request is in progress on the others, or until ctx ends.
// Clients keep connections on which no request has begun: they open one more while all are busy, and then use another that
// is free first.
func (l *Listener) awaitRequests(ctx context.Context) error {
	grace := time.Now().Add(unusedGrace)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for l.socket.CloseIdle(time.Now().After(grace)) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			time.Sleep(lateTime)
			if l.socket.CloseIdle(true) == 0 {
				return nil
			}
			return ctx.Err()
		}
	}
	return nil
}

// shutDown shuts the server down, which waits for requests in progress on connections of TLS and HTTP/2. It tells the other
// ends of HTTP/2 to send no more requests, and leaves idle connections to them for a second; here, they end sooner.
func (l *Listener) shutDown(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- l.server.Shutdown(ctx) }()
	grace := time.Now().Add(unusedGrace)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			return err
		case now := <-ticker.C:
			if now.After(grace) {
				l.socket.EndQuiet()
			}
			if open, _ := l.Connections(); open == 0 {
				return nil // the server would notice up to half a second later
			}
		}
	}
}

// Health implements kernel.Service.
func (l *Listener) Health() error {
	if l.serving.Load() {
		return nil
	}
	return &ClosedError{Listener: l.ServiceName}
}

// ClosedError reports that a listener does not serve.
type ClosedError struct {
	Listener string
}

// Error implements error.
func (e *ClosedError) Error() string { return "listener " + e.Listener + " is closed" }

// CutError reports that requests were cut by a planned stop.
type CutError struct {
	Listener    string
	Connections int64
	Cause       error
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("listener %s cut requests on %d connections: %v", e.Listener, e.Connections, e.Cause)
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }

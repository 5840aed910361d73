package dialer

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Usage tells which connection a call uses. It is safe for concurrent use.
type Usage struct {
	connection atomic.Pointer[httptrace.GotConnInfo]
}

// WithUsage returns a context for one call, and the Usage that the call sets.
func WithUsage(ctx context.Context) (context.Context, *Usage) {
	u := &Usage{}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { u.connection.Store(&info) }}
	return httptrace.WithClientTrace(ctx, trace), u
}

// String describes the connection for logs: "none" while the call has no connection, "new", or since when it was kept
// without a call.
func (u *Usage) String() string {
	info := u.connection.Load()
	switch {
	case info == nil:
		return "none"
	case !info.Reused:
		return "new"
	case !info.WasIdle:
		return "shared"
	}
	return "kept idle for " + info.IdleTime.Round(time.Millisecond).String()
}

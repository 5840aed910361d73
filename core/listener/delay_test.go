package listener

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// beginPart is what callers send of a request that they do not complete.
const beginPart = "GET / HTTP/1.1\r\nX: "

// dialUnfinished opens a connection to a listener and sends the beginning of a request.
func dialUnfinished(t *testing.T, l *Listener, begin string) net.Conn {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", l.Address.String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, begin)
	is.NoErr(err)
	time.Sleep(unusedGrace / 2) // the server has accepted it
	return c
}

// assertStopsSoon fails unless a planned stop succeeds in much less than its time.
func assertStopsSoon(t *testing.T, l *Listener) {
	t.Helper()
	is := is.New(t)
	started := time.Now()
	is.NoErr(stop(l))
	is.True(time.Since(started) < patience/2)
}

// sendSlowly sends a byte at a time until the connection ends.
func sendSlowly(c net.Conn) {
	for err := error(nil); err == nil; time.Sleep(unusedGrace / 5) {
		_, err = io.WriteString(c, "x")
	}
}

// Guards against a caller that sends the head of a request byte by byte and so takes a planned stop all its time.
func TestSlowHeadDoesNotDelayStop(t *testing.T) {
	l := start(t, writeLarge)
	c := dialUnfinished(t, l, beginPart)
	go sendSlowly(c)
	assertStopsSoon(t, l)
}

// Guards against a caller that sends the head of a request byte by byte on one listener, such as that for readiness, while
// the next accepts requests until the time of a planned stop is over and then cuts them.
func TestSlowHeadDoesNotCutRequestsOfOtherListeners(t *testing.T) {
	is := is.New(t)
	first := start(t, writeLarge)
	go sendSlowly(dialUnfinished(t, first, beginPart))
	second := start(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(patience / 4)
		w.WriteHeader(http.StatusNoContent)
	})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	stopped := make(chan error, 1)
	go func() {
		_ = first.Stop(ctx)
		stopped <- second.Stop(ctx)
	}()
	time.Sleep(patience * 7 / 8)
	if c, err := net.Dial("tcp", second.Address.String()); err == nil { // refused is right, too
		is.Equal(exchange(c), http.StatusNoContent)
		_ = c.Close()
	}
	is.NoErr(<-stopped)
}

// Guards against a connection over TLS on which nothing was sent and which takes a planned stop all its time.
func TestUnusedConnectionOverTLSDoesNotDelayStop(t *testing.T) {
	keys := writeKeys(t)
	l, _, _ := startHeld(t, func(l *Listener) { l.Keys = keys })
	dialUnfinished(t, l, "")
	assertStopsSoon(t, l)
}

// Guards against a caller that begins HTTP/2, sends no more, and so takes a planned stop all its time.
func TestUnfinishedHTTP2OpeningDoesNotDelayStop(t *testing.T) {
	l := start(t, writeLarge)
	dialUnfinished(t, l, "PRI * HTTP/2.0\r\n")
	assertStopsSoon(t, l)
}

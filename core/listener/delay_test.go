package listener

import (
	"io"
	"net"
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

// Guards against a caller that sends the head of a request byte by byte and so takes a planned stop all its time.
func TestSlowHeadDoesNotDelayStop(t *testing.T) {
	l := start(t, writeLarge)
	c := dialUnfinished(t, l, beginPart)
	go func() {
		for err := error(nil); err == nil; time.Sleep(unusedGrace / 5) {
			_, err = io.WriteString(c, "x")
		}
	}()
	assertStopsSoon(t, l)
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

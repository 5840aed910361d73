package prober

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// settle is longer than a byte takes between two ends here.
const settle = 20 * time.Millisecond

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(socket.Close()) }()
	raw, err := net.Dial("tcp", socket.Addr().String())
	is.NoErr(err)
	accepted, err := socket.Accept()
	is.NoErr(err)
	near, _ = raw.(*net.TCPConn)
	far, _ = accepted.(*net.TCPConn)
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

func TestQuietAndClosed(t *testing.T) {
	cases := map[string]struct {
		end           func(far *net.TCPConn)
		quiet, closed bool
	}{
		"idle":             {func(*net.TCPConn) {}, true, false},
		"bytes":            {func(c *net.TCPConn) { _, _ = c.Write([]byte("x")) }, false, false},
		"closed":           {func(c *net.TCPConn) { _ = c.Close() }, false, true},
		"reset":            {func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }, false, true},
		"bytes and closed": {func(c *net.TCPConn) { _, _ = c.Write([]byte("x")); _ = c.Close() }, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := pair(t)
			c.end(far)
			time.Sleep(settle)
			is.Equal(Idle(near), c.quiet)
			is.Equal(Closed(near), c.closed)
		})
	}
}

func TestConnectionsThatAreNoSocketsDoNotTell(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	_, ok := Unacknowledged(near)
	is.True(!ok)
	is.True(!Idle(near))
	is.True(!Closed(near))
}

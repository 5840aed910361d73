package prober

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// settleTime is longer than data takes from one end of a local connection to the other.
const settleTime = 20 * time.Millisecond

// pair returns both ends of a connection.
func pair(t *testing.T) (local, remote *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(socket.Close()) }()
	raw, err := net.Dial("tcp", socket.Addr().String())
	is.NoErr(err)
	accepted, err := socket.Accept()
	is.NoErr(err)
	local, _ = raw.(*net.TCPConn)
	remote, _ = accepted.(*net.TCPConn)
	t.Cleanup(func() { _, _ = local.Close(), remote.Close() })
	return local, remote
}

func TestIdleAndClosed(t *testing.T) {
	cases := map[string]struct {
		act          func(remote *net.TCPConn)
		idle, closed bool
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
			local, remote := pair(t)
			c.act(remote)
			time.Sleep(settleTime)
			is.Equal(Idle(local), c.idle)
			is.Equal(Closed(local), c.closed)
		})
	}
}

func TestConnectionWithoutSocket(t *testing.T) {
	is := is.New(t)
	local, remote := net.Pipe()
	defer func() { _, _ = local.Close(), remote.Close() }()
	_, ok := Unacknowledged(local)
	is.True(!ok)
	is.True(!Idle(local))
	is.True(!Closed(local))
}

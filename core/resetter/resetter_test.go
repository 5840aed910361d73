package resetter

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"chervilrail.example/core/prober"
)

const (
	// receiveBuffer is the size in bytes of the remote end's small receive buffer.
	receiveBuffer = 4 << 10
	// payload is a size in bytes above the remote receive buffer and below the local send buffer.
	payload = 64 << 10
	timeout = 5 * time.Second
)

// pair returns both ends of a connection. The remote end's receive buffer is small.
func pair(t *testing.T) (local *Conn, remote *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	listener := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, failure)
	}}
	socket, err := listener.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(socket.Close()) }()
	raw, err := (&Dialer{}).DialContext(t.Context(), "tcp", socket.Addr().String())
	is.NoErr(err)
	accepted, err := socket.Accept()
	is.NoErr(err)
	local, _ = raw.(*Conn)
	remote, _ = accepted.(*net.TCPConn)
	is.NoErr(local.SetWriteBuffer(2 * payload))
	t.Cleanup(func() { _, _ = local.Close(), remote.Close() })
	return local, remote
}

// Guards against logs that don't distinguish a target that works on a request from one that never received it.
func TestUnacknowledgedBytesAreCounted(t *testing.T) {
	is := is.New(t)
	local, remote := pair(t)
	_, err := local.Write(make([]byte, payload))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	count, ok := prober.Unacknowledged(local)
	is.True(ok)
	is.True(count > 0 && count < payload)
	_, err = io.ReadFull(remote, make([]byte, payload))
	is.NoErr(err)
	for end := time.Now().Add(timeout); count > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		count, ok = prober.Unacknowledged(local)
		is.True(ok)
	}
	is.Equal(count, 0)
}

// Guards against data that arrives seconds after its sender closed the connection.
func TestUnacknowledgedDataIsDropped(t *testing.T) {
	for name, closeConn := range map[string]func(c *Conn) error{
		"reset": func(c *Conn) error { return Reset(c) },
		"close": func(c *Conn) error { return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			local, remote := pair(t)
			_, err := local.Write(make([]byte, payload))
			is.NoErr(err)
			is.NoErr(closeConn(local))
			time.Sleep(50 * time.Millisecond)
			is.NoErr(remote.SetDeadline(time.Now().Add(timeout)))
			got, err := io.Copy(io.Discard, remote)
			is.True(err != nil)
			is.True(got < payload)
		})
	}
}

// Guards against data that is lost because the connection is reset on Close although all of it was acknowledged.
func TestAcknowledgedDataIsDelivered(t *testing.T) {
	is := is.New(t)
	local, remote := pair(t)
	_, err := local.Write([]byte("all"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.NoErr(local.Close())
	is.NoErr(remote.SetDeadline(time.Now().Add(timeout)))
	got, err := io.ReadAll(remote)
	is.NoErr(err)
	is.Equal(string(got), "all")
}

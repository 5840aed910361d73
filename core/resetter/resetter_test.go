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
	// room is the receive buffer of a machine that takes little, in bytes.
	room = 4 << 10
	// much is more than fits there, and less than fits here.
	much     = 64 << 10
	patience = 5 * time.Second
)

// pair returns both ends of a connection; the far end takes little until it is read.
func pair(t *testing.T) (near *Conn, far *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, room)
		})
		return errors.Join(err, failure)
	}}
	socket, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(socket.Close()) }()
	raw, err := (&Dialer{}).DialContext(t.Context(), "tcp", socket.Addr().String())
	is.NoErr(err)
	accepted, err := socket.Accept()
	is.NoErr(err)
	near, _ = raw.(*Conn)
	far, _ = accepted.(*net.TCPConn)
	is.NoErr(near.SetWriteBuffer(2 * much))
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

// Guards against a log that can't tell a target that is at work from one that never got the request.
func TestUnacknowledgedBytesAreCounted(t *testing.T) {
	is := is.New(t)
	near, far := pair(t)
	_, err := near.Write(make([]byte, much))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	count, ok := prober.Unacknowledged(near)
	is.True(ok)
	is.True(count > 0 && count < much)
	_, err = io.ReadFull(far, make([]byte, much))
	is.NoErr(err)
	for end := time.Now().Add(patience); count > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		count, ok = prober.Unacknowledged(near)
		is.True(ok)
	}
	is.Equal(count, 0)
}

// Guards against bytes that arrive seconds after their sender gave them up.
func TestWhatIsOnItsWayIsDropped(t *testing.T) {
	for name, end := range map[string]func(c *Conn) error{
		"reset": func(c *Conn) error { return Reset(c) },
		"close": func(c *Conn) error { return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := pair(t)
			_, err := near.Write(make([]byte, much))
			is.NoErr(err)
			is.NoErr(end(near))
			time.Sleep(50 * time.Millisecond)
			is.NoErr(far.SetDeadline(time.Now().Add(patience)))
			got, err := io.Copy(io.Discard, far)
			is.True(err != nil)
			is.True(got < much)
		})
	}
}

// Guards against answers that break off since their reader closed a connection on which nothing was on its way.
func TestCloseInOrderOtherwise(t *testing.T) {
	is := is.New(t)
	near, far := pair(t)
	_, err := near.Write([]byte("all"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.NoErr(near.Close())
	is.NoErr(far.SetDeadline(time.Now().Add(patience)))
	got, err := io.ReadAll(far)
	is.NoErr(err)
	is.Equal(string(got), "all")
}

package closer

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/pipeliner"
)

const (
	// receiveBuffer is the size in bytes of a remote end's receive buffer, and answer that of what is written to it.
	receiveBuffer = 2 << 10
	answer        = 64 << 10
	// settleTime is longer than data takes from one end of a local connection to the other.
	settleTime = 20 * time.Millisecond
)

// listen returns a socket on a free local port.
func listen(t *testing.T) *Socket {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	return &Socket{Listener: socket, Closer: &Closer{Logger: log.NewNopLogger()}, Service: "test"}
}

// connect returns both ends of a new connection. The remote end's receive buffer is small.
func connect(t *testing.T, s *Socket) (local *Conn, remote *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	c, err := (&pipeliner.Pipeliner{ReceiveBuffer: receiveBuffer}).Dial(t.Context(), s.Addr().String())
	is.NoErr(err)
	remote, ok := c.Conn.(*net.TCPConn)
	is.True(ok)
	t.Cleanup(func() { _ = remote.Close() })
	accepted, err := s.Accept()
	is.NoErr(err)
	local, ok = accepted.(*Conn)
	is.True(ok)
	return local, remote
}

// write writes bytes, which have to fit the buffers.
func write(t *testing.T, c net.Conn, size int) {
	t.Helper()
	n, err := c.Write(make([]byte, size))
	is.New(t).NoErr(err)
	is.New(t).Equal(n, size)
}

// readAll reads until the end of a connection, and fails unless it was an orderly close after size bytes.
func readAll(t *testing.T, c net.Conn, size int) {
	t.Helper()
	is := is.New(t)
	is.NoErr(c.SetReadDeadline(time.Now().Add(Timeout)))
	n, err := io.Copy(io.Discard, c)
	is.NoErr(err)
	is.Equal(n, int64(size))
}

// Guards against a close that discards what was written and not yet received, since the other end goes on sending.
func TestCloseDeliversWhatWasWritten(t *testing.T) {
	for name, unread := range map[string]bool{"bytes unread at the close": true, "bytes after the close": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := listen(t)
			local, remote := connect(t, s)
			write(t, local, answer)
			if unread {
				write(t, remote, 100)
				time.Sleep(settleTime)
			}
			is.NoErr(local.Close())
			write(t, remote, 100)
			time.Sleep(settleTime)
			readAll(t, remote, answer)
		})
	}
}

// Guards against a stop that ends the process while answers are on their way to slow readers, and against one that waits
// for a reader that never reads.
func TestStopWaitsForSlowReaders(t *testing.T) {
	t.Run("that read", func(t *testing.T) {
		is := is.New(t)
		s := listen(t)
		local, remote := connect(t, s)
		write(t, local, answer)
		is.NoErr(local.Close())
		go func() {
			time.Sleep(10 * settleTime)
			_, _ = io.Copy(io.Discard, remote)
			_ = remote.Close()
		}()
		began := time.Now()
		is.NoErr(s.Closer.Stop(t.Context()))
		is.True(time.Since(began) >= 10*settleTime)
		is.True(time.Since(began) < Timeout)
	})
	t.Run("that never read", func(t *testing.T) {
		is := is.New(t)
		s := listen(t)
		local, _ := connect(t, s)
		write(t, local, answer)
		is.NoErr(local.Close())
		ctx, cancel := context.WithTimeout(t.Context(), Timeout/4)
		defer cancel()
		is.NoErr(s.Closer.Stop(ctx))
		is.True(ctx.Err() == nil) // it left time for the end of the process
		is.Equal(s.Closer.count(), 0)
	})
}

// Guards against callers that never close their side of connections and so take all descriptors of the process.
func TestUnclosedConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	s := listen(t)
	closed := make(chan bool, 2*maxDraining)
	s.OnClose = func() { closed <- true }
	for range maxDraining + 10 {
		local, _ := connect(t, s)
		write(t, local, 1)
		is.NoErr(local.Close())
	}
	for range 10 {
		<-closed
	}
	time.Sleep(settleTime)
	is.Equal(s.Closer.count(), maxDraining)
	is.Equal(len(closed), 0)
}

// Guards against a request that is handled though its connection has just been closed: it would run, and its answer
// would reach nobody.
func TestRequestsAreNotHandledAfterClose(t *testing.T) {
	is := is.New(t)
	local, remote := connect(t, listen(t))
	write(t, local, 1)
	is.NoErr(local.Close())
	is.True(!local.BeginRequest(0))
	write(t, remote, 1)
	_, err := local.Read(make([]byte, 1))
	is.True(errors.Is(err, net.ErrClosed))
}

// Guards against a stop that closes a connection between the arrival of a request and its handling: the server still takes
// the connection for idle. One on which no more than a part arrives must not hold up the stop.
func TestCloseLeavesConnectionsWithAHeadOpen(t *testing.T) {
	is := is.New(t)
	s := listen(t)
	local, remote := connect(t, s)
	local.SetIdle(true)
	write(t, remote, 10)
	_, err := local.Read(make([]byte, 10))
	is.NoErr(err)
	is.Equal(s.CloseIdle(true), 1)
	time.Sleep(headTime)
	is.Equal(s.CloseIdle(true), 0)
}

// Guards against a stop that closes a connection which the server takes for idle, while a request on it is handled or has
// arrived.
func TestCloseLeavesConnectionsWithRequestsOpen(t *testing.T) {
	t.Run("handled", func(t *testing.T) {
		is := is.New(t)
		local, remote := connect(t, listen(t))
		is.True(local.BeginRequest(0))
		is.NoErr(local.Close())
		write(t, local, answer)
		local.EndRequest()
		is.NoErr(local.Close())
		readAll(t, remote, answer)
	})
	t.Run("arrived", func(t *testing.T) {
		is := is.New(t)
		local, remote := connect(t, listen(t))
		local.SetIdle(true)
		is.NoErr(local.SetReadDeadline(time.Now())) // a Read that has begun and not seen what arrives
		write(t, remote, 1)
		time.Sleep(settleTime)
		local.mu.Lock()
		local.reading = true
		local.mu.Unlock()
		is.NoErr(local.Close())
		is.NoErr(local.SetReadDeadline(time.Time{}))
		n, err := local.Read(make([]byte, 1))
		is.NoErr(err)
		is.Equal(n, 1)
	})
	t.Run("cut", func(t *testing.T) {
		is := is.New(t)
		s := listen(t)
		local, remote := connect(t, s)
		is.True(local.BeginRequest(0))
		s.Cut()
		is.True(!local.BeginRequest(0))
		readAll(t, remote, 0)
	})
}

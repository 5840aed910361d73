package closer

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/prober"
)

// sendOn sends at full speed until the connection ends.
func sendOn(c net.Conn) {
	chunk := make([]byte, 1<<20)
	for {
		if _, err := c.Write(chunk); err != nil {
			return
		}
	}
}

// endsWithin fails unless the call returns in time. The call is left behind then.
func endsWithin(t *testing.T, limit time.Duration, call func()) {
	t.Helper()
	done := make(chan bool)
	go func() {
		call()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
		t.Fatalf("it has not returned after %v", limit)
	}
}

// Guards against callers that send faster than their bytes are discarded and so hold up a planned stop.
func TestSendingCallersDoNotHoldUpCloses(t *testing.T) {
	t.Run("cut", func(t *testing.T) {
		is := is.New(t)
		s := listen(t)
		local, remote := connect(t, s)
		is.True(local.BeginRequest(0))
		for range 4 {
			go sendOn(remote)
		}
		time.Sleep(settleTime)
		endsWithin(t, Timeout, s.Cut)
	})
	t.Run("unused", func(t *testing.T) {
		local, remote := connect(t, listen(t))
		for range 4 {
			go sendOn(remote)
		}
		time.Sleep(settleTime)
		endsWithin(t, Timeout, func() { _ = local.Close() })
	})
}

// Guards against a reader that is slower than the time for a close, and reads on, losing an answer since it sends more.
func TestCloseWaitsWhileAnswerIsRead(t *testing.T) {
	local, remote := connect(t, listen(t))
	write(t, local, answer)
	is.New(t).NoErr(local.Close())
	is.New(t).NoErr(remote.SetReadDeadline(time.Now().Add(3 * Timeout)))
	const parts = 32
	for range parts {
		read(t, remote, answer/parts)
		write(t, remote, 1)
		time.Sleep(Timeout * 5 / 4 / parts)
	}
	readAll(t, remote, 0)
}

// Guards against a connection that is kept for much longer than its time after everything was delivered on it: its
// caller holds it, and descriptors of the process with it.
func TestCloseWaitsNoLongerOnceAllIsDelivered(t *testing.T) {
	is := is.New(t)
	s := listen(t)
	closed := make(chan bool)
	s.OnClose = func() { close(closed) }
	local, remote := connect(t, s)
	write(t, local, answer)
	is.NoErr(local.Close())
	read(t, remote, answer/2)
	time.Sleep(Timeout * 3 / 4)
	read(t, remote, answer/4)
	time.Sleep(Timeout / 2)
	readAll(t, remote, answer/4)
	delivered := time.Now()
	<-closed
	is.True(time.Since(delivered) < Timeout+3*progressInterval)
}

// Guards against requests behind the last answer that are read and dropped: callers repeat those that were not read.
func TestRequestsBehindTheLastAnswerAreNotRead(t *testing.T) {
	for name, length := range map[string]int64{"request without body": 0, "request with body": 10, "request with chunks": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			local, remote := connect(t, listen(t))
			is.True(local.BeginRequest(length))
			write(t, local, answer)
			local.EndRequest()
			is.NoErr(local.Close())
			write(t, remote, 100)
			readAll(t, remote, answer)
			time.Sleep(settleTime)
			unread, open := prober.Unread(local.TCPConn)
			is.True(open)
			is.Equal(unread == 0, length != 0) // the rest of a body is discarded
			is.NoErr(remote.CloseWrite())
			time.Sleep(settleTime)
			is.Equal(local.socket.Closer.count(), 0)
		})
	}
}

// read reads so many bytes.
func read(t *testing.T, c net.Conn, size int) {
	t.Helper()
	buffer := make([]byte, size)
	for size > 0 {
		n, err := c.Read(buffer[:size])
		is.New(t).NoErr(err)
		size -= n
	}
}

// Guards against a cut of a request in progress that discards the whole answer before it.
func TestCutDeliversEarlierAnswers(t *testing.T) {
	is := is.New(t)
	s := listen(t)
	local, remote := connect(t, s)
	write(t, local, answer)
	is.True(local.BeginRequest(0))
	s.Cut()
	write(t, remote, 100)
	time.Sleep(settleTime)
	readAll(t, remote, answer)
}

// Guards against connections that are counted twice or never, and against calls that wait for each other, when a
// connection is closed while it is read.
func TestConcurrentCloses(t *testing.T) {
	is := is.New(t)
	s := listen(t)
	closed := make(chan bool, 1000)
	s.OnClose = func() { closed <- true }
	const connections = 200
	var group sync.WaitGroup
	for i := range connections {
		local, remote := connect(t, s)
		if i%2 == 0 {
			write(t, local, 1)
		}
		group.Go(func() {
			buffer := make([]byte, 10)
			for {
				if _, err := local.Read(buffer); err != nil && !isTimeout(err) {
					return
				}
			}
		})
		group.Go(func() {
			for range 10 {
				_ = local.SetReadDeadline(time.Now())
				_ = local.SetReadDeadline(time.Time{})
			}
		})
		group.Go(func() { _, _ = remote.Write(make([]byte, 100)) })
		group.Go(func() { _ = local.Close() })
		group.Go(func() {
			time.Sleep(settleTime)
			_ = local.Close()
			_ = remote.Close()
		})
	}
	group.Go(func() {
		time.Sleep(settleTime / 2)
		s.Closer.Leave()
		s.Cut()
	})
	endsWithin(t, 3*Timeout, group.Wait)
	time.Sleep(10 * settleTime)
	is.Equal(s.Closer.count(), 0)
	is.Equal(len(s.open()), 0)
	is.Equal(len(closed), connections)
}

// Guards against a request that crosses the close of an idle connection and is read all the same: its caller repeats it
// only if it was not read.
func TestRequestsThatCrossAnIdleCloseAreNotRead(t *testing.T) {
	is := is.New(t)
	local, remote := connect(t, listen(t))
	write(t, local, 1)
	read(t, remote, 1)
	local.SetIdle(true)
	is.NoErr(local.Close())
	write(t, remote, 100)
	time.Sleep(settleTime)
	unread, open := prober.Unread(local.TCPConn)
	is.True(!open || unread == 100)
}

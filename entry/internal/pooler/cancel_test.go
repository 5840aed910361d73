package pooler

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer is the size of the target's small receive buffer, in bytes.
	receiveBuffer = 4 << 10
	// bodySize is the size of a body that fits into the local send buffer but not into receiveBuffer, in bytes.
	bodySize = 24 << 10
)

// startSlowTarget starts a target that reads nothing until start is closed; the channel then gets the number of body
// bytes it received.
func startSlowTarget(t *testing.T, start <-chan struct{}) (netip.AddrPort, <-chan int) {
	t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, failure)
	}}
	socket, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	got := make(chan int, 1)
	go func() {
		c, err := socket.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		<-start
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			got <- 0
			return
		}
		body, _ := io.ReadAll(r.Body)
		got <- len(body)
	}()
	return netip.MustParseAddrPort(socket.Addr().String()), got
}

// Guards against requests that reach their target seconds after they were cancelled: after a graceful close, the kernel
// continues to send what was written before.
func TestCancelledRequestIsNotDelivered(t *testing.T) {
	is := is.New(t)
	start := make(chan struct{})
	address, got := startSlowTarget(t, start)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	p := &Pooler{}
	r := request(string(make([]byte, bodySize)))
	_, outcome, err := p.Send(ctx, address, r)
	is.Equal(outcome, Broken)
	is.True(err != nil)
	time.Sleep(100 * time.Millisecond)
	close(start)
	is.True(<-got < bodySize)
}

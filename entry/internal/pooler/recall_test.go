package pooler

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// keeper is a target that keeps its connections, so that the way to it can be cut.
type keeper struct {
	*script
	mu   sync.Mutex
	open []*net.TCPConn
}

// keep starts a target whose n-th answer on a connection is sent by answer.
func keep(t *testing.T, answer func(c net.Conn, n int)) *keeper {
	t.Helper()
	k := &keeper{}
	k.script = serve(t, func(c net.Conn, n int) {
		if socket, ok := c.(*net.TCPConn); ok && n == 1 {
			k.mu.Lock()
			k.open = append(k.open, socket)
			k.mu.Unlock()
		}
		answer(c, n)
	})
	return k
}

// cut makes the target's machine drop, or take again, what arrives on the connections that were used so far.
func (k *keeper) cut(t *testing.T, on bool) {
	t.Helper()
	is := is.New(t)
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.open {
		raw, err := c.SyscallConn()
		is.NoErr(err)
		is.NoErr(raw.Control(func(fd uintptr) {
			if on {
				err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
					&unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
				return
			}
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		}))
		is.NoErr(err)
	}
}

// later sends a request and returns where its ending will be.
func later(t *testing.T, p *Pooler, address netip.AddrPort) <-chan Ending {
	t.Helper()
	ends := make(chan Ending, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	go func() {
		_, ending, _ := p.Send(ctx, address, request("hello"))
		ends <- ending
	}()
	return ends
}

// settle is longer than a request takes to a target here, and than the kernel waits before it first sends again.
const settle = 300 * time.Millisecond

// Guards against requests that reach a target long after it was withdrawn, when a cut on the way there ends.
func TestRecalledRequestNeverArrives(t *testing.T) {
	is := is.New(t)
	k := keep(t, func(c net.Conn, _ int) { write(c, whole) })
	p := &Pooler{}
	defer p.Close()
	_, ending := send(t, p, k.script)
	is.Equal(ending, Answered)
	k.cut(t, true)
	ends := later(t, p, k.address)
	time.Sleep(settle)
	recalled := time.Now()
	is.Equal(p.CancelUndelivered(k.address, recalled), 1)
	is.Equal(<-ends, Broken)
	is.True(time.Since(recalled) < time.Second) // long before its deadline
	k.cut(t, false)
	time.Sleep(3 * settle)
	is.Equal(k.read.Load(), int32(1))
	is.Equal(p.CancelUndelivered(k.address, time.Now()), 0)
}

// Guards against requests that are taken from a target which is at work on them, or that are too new to tell.
func TestRequestsAtTheTargetAreNotRecalled(t *testing.T) {
	is := is.New(t)
	k := keep(t, func(c net.Conn, n int) { time.Sleep(time.Duration(n-1) * 2 * settle); write(c, whole) })
	p := &Pooler{}
	defer p.Close()
	_, ending := send(t, p, k.script)
	is.Equal(ending, Answered)
	began := time.Now()
	ends := later(t, p, k.address)
	time.Sleep(settle)
	is.Equal(p.CancelUndelivered(k.address, time.Now()), 0)
	is.Equal(<-ends, Answered)
	k.cut(t, true)
	ends = later(t, p, k.address)
	time.Sleep(settle)
	is.Equal(p.CancelUndelivered(k.address, began), 0)
	k.cut(t, false)
	is.Equal(<-ends, Answered)
}

package pooler

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/pipeliner"
)

// cuttableTarget is a target that records its connections, so that the network path to it can be cut.
type cuttableTarget struct {
	*fakeTarget
	mu   sync.Mutex
	open []*net.TCPConn
}

// startCuttableTarget starts a target that calls answer for the n-th request on a connection.
func startCuttableTarget(t *testing.T, answer func(c net.Conn, n int)) *cuttableTarget {
	t.Helper()
	k := &cuttableTarget{}
	k.fakeTarget = startTarget(t, func(c net.Conn, n int) {
		if socket, ok := c.(*net.TCPConn); ok && n == 1 {
			k.mu.Lock()
			k.open = append(k.open, socket)
			k.mu.Unlock()
		}
		answer(c, n)
	})
	return k
}

// setCut makes the kernel drop, or accept again, all packets that arrive on the target's connections opened so far.
func (k *cuttableTarget) setCut(t *testing.T, on bool) {
	t.Helper()
	is := is.New(t)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.open {
		is.NoErr(pipeliner.DropPackets(c, on))
	}
}

// sendAsync sends a request and returns the channel that gets its outcome.
func sendAsync(t *testing.T, p *Pooler, address netip.AddrPort) <-chan Outcome {
	t.Helper()
	outcomes := make(chan Outcome, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	go func() {
		_, outcome, _ := p.Send(ctx, address, request("hello"))
		outcomes <- outcome
	}()
	return outcomes
}

// settleTime is longer than a request takes to a local target, and than the kernel's first retransmission time-out.
const settleTime = 300 * time.Millisecond

// Guards against requests that reach a target long after it was withdrawn, when a network partition ends.
func TestUndeliveredRequestIsCancelled(t *testing.T) {
	is := is.New(t)
	k := startCuttableTarget(t, func(c net.Conn, _ int) { write(c, completeAnswer) })
	p := &Pooler{}
	defer p.Close()
	_, outcome := send(t, p, k.fakeTarget)
	is.Equal(outcome, Answered)
	k.setCut(t, true)
	outcomes := sendAsync(t, p, k.address)
	time.Sleep(settleTime)
	cancelledAt := time.Now()
	is.Equal(p.CancelUndelivered(k.address, cancelledAt), 1)
	is.Equal(<-outcomes, Broken)
	is.True(time.Since(cancelledAt) < time.Second) // long before its deadline
	k.setCut(t, false)
	time.Sleep(3 * settleTime)
	is.Equal(k.read.Load(), int32(1))
	is.Equal(p.CancelUndelivered(k.address, time.Now()), 0)
}

// Guards against cancelling requests that a target is executing, or that are too new to tell whether they were
// delivered.
func TestDeliveredOrNewRequestsAreNotCancelled(t *testing.T) {
	is := is.New(t)
	k := startCuttableTarget(t, func(c net.Conn, n int) { time.Sleep(time.Duration(n-1) * 2 * settleTime); write(c, completeAnswer) })
	p := &Pooler{}
	defer p.Close()
	_, outcome := send(t, p, k.fakeTarget)
	is.Equal(outcome, Answered)
	cutoff := time.Now()
	outcomes := sendAsync(t, p, k.address)
	time.Sleep(settleTime)
	is.Equal(p.CancelUndelivered(k.address, time.Now()), 0)
	is.Equal(<-outcomes, Answered)
	k.setCut(t, true)
	outcomes = sendAsync(t, p, k.address)
	time.Sleep(settleTime)
	is.Equal(p.CancelUndelivered(k.address, cutoff), 0)
	k.setCut(t, false)
	is.Equal(<-outcomes, Answered)
}

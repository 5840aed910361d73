// Package relayer forwards loopback connections and injects network faults: delays, resets, and connections whose data
// is dropped in one or both directions.
package relayer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const bufferSize = 32 << 10

// Relay forwards connections to one address. Set Target, then call Start.
type Relay struct {
	// Target is the address to which connections are forwarded.
	Target string

	socket net.Listener
	// delay is how long each chunk of data is held before it is forwarded, in nanoseconds.
	delay     atomic.Int64
	mu        sync.Mutex
	openLinks []*link
}

// link is a connection through the relay: one connection on each side.
type link struct {
	caller, target net.Conn
	// dropAnswers discards the data from the target, dropRequests the data to it.
	dropAnswers, dropRequests atomic.Bool
}

// Start listens on a free port of host, forwards connections in the background, and returns the address.
func (r *Relay) Start(host string) (string, error) {
	socket, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	r.socket = socket
	go r.accept()
	return socket.Addr().String(), nil
}

// Close stops listening and resets the open connections.
func (r *Relay) Close() {
	_ = r.socket.Close()
	r.Reset()
}

// Delay sets how long each chunk of data is held from now on; 0 ends the delay.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Reset closes the open connections with a TCP reset.
func (r *Relay) Reset() {
	for _, l := range r.links() {
		for _, c := range []net.Conn{l.caller, l.target} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// DropAll discards all data on the open connections, which stay open on both sides. New connections work.
func (r *Relay) DropAll() {
	for _, l := range r.links() {
		l.dropAnswers.Store(true)
		l.dropRequests.Store(true)
	}
}

// DropAnswers discards the data from the target on the open connections. Data to the target still passes.
func (r *Relay) DropAnswers() {
	for _, l := range r.links() {
		l.dropAnswers.Store(true)
	}
}

// Count returns the number of open connections.
func (r *Relay) Count() int { return len(r.links()) }

func (r *Relay) links() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*link{}, r.openLinks...)
}

func (r *Relay) accept() {
	for {
		caller, err := r.socket.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", r.Target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		l := &link{caller: caller, target: target}
		r.mu.Lock()
		r.openLinks = append(r.openLinks, l)
		r.mu.Unlock()
		go r.transfer(l, target, caller, &l.dropRequests)
		go r.transfer(l, caller, target, &l.dropAnswers)
	}
}

// transfer copies data in one direction until either side closes. With discard set it drops the data and keeps the
// connections open.
func (r *Relay) transfer(l *link, to, from net.Conn, discard *atomic.Bool) {
	defer r.remove(l)
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if discard.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		time.Sleep(time.Duration(r.delay.Load()))
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, o := range r.openLinks {
		if o == l {
			r.openLinks = append(r.openLinks[:i], r.openLinks[i+1:]...)
			return
		}
	}
}

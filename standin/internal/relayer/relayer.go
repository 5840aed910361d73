// Package relayer passes loopback connections on and harms them: it delays, resets, silences or passes one way only.
package relayer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const bufferSize = 32 << 10

// Relay stands before one address. Set Target, then Start it.
type Relay struct {
	// Target is the address that connections are passed on to.
	Target string

	socket net.Listener
	// delay is how long each piece is held, in nanoseconds.
	delay     atomic.Int64
	mu        sync.Mutex
	openLinks []*link
}

// link is one connection through the relay.
type link struct {
	caller, target net.Conn
	// dropAnswers swallows what comes from the target, dropRequests what goes there.
	dropAnswers, dropRequests atomic.Bool
}

// Start listens on a free port of a host and returns the address.
func (r *Relay) Start(host string) (string, error) {
	socket, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	r.socket = socket
	go r.accept()
	return socket.Addr().String(), nil
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.socket.Close()
	r.Reset()
}

// Delay holds each piece for a while from now on; zero ends that.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Reset resets the open connections.
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

// DropAll makes the open connections swallow everything: both ends still stand, new connections work.
func (r *Relay) DropAll() {
	for _, l := range r.links() {
		l.dropAnswers.Store(true)
		l.dropRequests.Store(true)
	}
}

// DropAnswers makes the open connections swallow the target's answers only.
func (r *Relay) DropAnswers() {
	for _, l := range r.links() {
		l.dropAnswers.Store(true)
	}
}

// Count returns how many connections were opened so far and still stand.
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

// transfer copies one way until either end closes.
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

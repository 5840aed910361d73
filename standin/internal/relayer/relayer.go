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
	delay atomic.Int64
	mu    sync.Mutex
	open  []*link
}

// link is one connection through the relay.
type link struct {
	near, far net.Conn
	// mute swallows what comes from the target, deaf what goes there.
	mute, deaf atomic.Bool
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
		for _, c := range []net.Conn{l.near, l.far} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// Silence makes the open connections swallow everything: both ends still stand, new connections work.
func (r *Relay) Silence() {
	for _, l := range r.links() {
		l.mute.Store(true)
		l.deaf.Store(true)
	}
}

// Mute makes the open connections swallow the target's answers only.
func (r *Relay) Mute() {
	for _, l := range r.links() {
		l.mute.Store(true)
	}
}

// Count returns how many connections were opened so far and still stand.
func (r *Relay) Count() int { return len(r.links()) }

func (r *Relay) links() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*link{}, r.open...)
}

func (r *Relay) accept() {
	for {
		near, err := r.socket.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.Target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l := &link{near: near, far: far}
		r.mu.Lock()
		r.open = append(r.open, l)
		r.mu.Unlock()
		go r.pass(l, far, near, &l.deaf)
		go r.pass(l, near, far, &l.mute)
	}
}

// pass copies one way until either end closes.
func (r *Relay) pass(l *link, to, from net.Conn, swallow *atomic.Bool) {
	defer r.forget(l)
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if swallow.Load() {
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

func (r *Relay) forget(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, o := range r.open {
		if o == l {
			r.open = append(r.open[:i], r.open[i+1:]...)
			return
		}
	}
}

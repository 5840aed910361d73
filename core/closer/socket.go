package closer

import (
	"net"
	"sync"
	"sync/atomic"
)

// Socket is a listening socket whose connections are of type *Conn. Set the exported fields before Accept.
type Socket struct {
	net.Listener
	Closer *Closer
	// Service names the listener in logs and metrics.
	Service string
	// Encrypted is set if the connections are used by TLS.
	Encrypted bool
	// OnClose is called when a connection's descriptor has been closed; it may be nil.
	OnClose func()

	// leaving is set once the process leaves.
	leaving atomic.Bool
	// cutting is set once requests in progress no longer keep connections open.
	cutting atomic.Bool
	once    sync.Once
	mu      sync.Mutex
	conns   map[*Conn]bool
}

// Accept implements net.Listener.
func (s *Socket) Accept() (net.Conn, error) {
	accepted, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	socket, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	c := &Conn{TCPConn: socket, socket: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.leaving = s.leaving.Load()
	if s.conns == nil {
		s.conns = map[*Conn]bool{}
	}
	s.conns[c] = true
	return c, nil
}

// Close implements net.Listener. It may be called more than once.
func (s *Socket) Close() error {
	var err error
	s.once.Do(func() { err = s.Listener.Close() })
	return err
}

// Leave tells all connections, and those that are accepted later, that the process leaves: see Conn.Last.
func (s *Socket) Leave() {
	s.leaving.Store(true)
	for _, c := range s.open() {
		c.leave()
	}
}

// CloseIdle closes the idle connections on which nothing has arrived; those on which no request has begun only if unused
// is set. It returns how many of the others are in use, but for those of TLS and HTTP/2 that have been used: the server has to
// close them.
func (s *Socket) CloseIdle(unused bool) int {
	inUse := 0
	for _, c := range s.open() {
		if c.closeIdle(unused) {
			inUse++
		}
	}
	return inUse
}

// EndQuiet ends this side of those connections of TLS and HTTP/2 that are idle, and were when it was called last. The server
// must have told the other ends to send no more requests; they close the connections then.
func (s *Socket) EndQuiet() {
	for _, c := range s.open() {
		c.endQuiet()
	}
}

// Cut closes all connections that are still in use, with the requests in progress on them.
func (s *Socket) Cut() {
	s.cutting.Store(true)
	for _, c := range s.open() {
		_ = c.Close()
	}
}

func (s *Socket) open() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// closeLater closes a connection once the other end has.
func (s *Socket) closeLater(c *Conn, e closing) {
	element := s.Closer.add(c)
	go s.Closer.drain(element, e)
}

// closeNow closes a connection's descriptor.
func (s *Socket) closeNow(c *Conn, e closing) error {
	err := c.TCPConn.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.Closer.record(e)
	if s.OnClose != nil {
		s.OnClose()
	}
	return err
}

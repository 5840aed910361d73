package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for an upstream: it announces itself and runs requests.
type server struct {
	id, service, zone string
	slots             int
	work              time.Duration
	operator          *operator
	born              int64

	mu       sync.Mutex
	sequence int
	state    string
	runs     map[string]int
	last     time.Time
	address  string
	http     *http.Server
	stop     chan struct{}
}

func (s *server) start(ip string) error {
	socket, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	s.address, s.runs, s.stop, s.state = socket.Addr().String(), map[string]int{}, make(chan struct{}), "ready"
	s.born = time.Now().UnixMilli()
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(socket) }()
	go s.announceLoop()
	return nil
}

func (s *server) announceLoop() {
	for {
		s.beat()
		select {
		case <-s.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// beat sends one heartbeat to one node after another until one acknowledges it within a second.
func (s *server) beat() bool {
	s.mu.Lock()
	s.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldRemainingS":0,"sequence":%d,"born":%d}`,
		s.service, s.address, s.zone, s.slots, s.state, s.sequence, s.born)
	s.mu.Unlock()
	for _, base := range s.operator.urls() {
		if status, _ := s.operator.call(base, "instances.heartbeat&of="+s.id, []byte(body), time.Second); status/100 == 2 {
			return true
		}
	}
	return false
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if to := r.Header.Get("X-Chervilrail-Target-Instance"); to != "" && to != s.id {
		w.Header().Set("X-Chervilrail-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Chervilrail-Attempt-Id")
	s.mu.Lock()
	s.runs[id]++
	s.last = time.Now()
	s.mu.Unlock()
	time.Sleep(s.work)
	w.Header().Set("X-Chervilrail-Attempt-Id", id)
	w.Header().Set("X-Chervilrail-Server-Signature", s.id+"."+id)
	w.Header().Set("X-Chervilrail-Server-Load", "1,0,"+strconv.Itoa(s.slots))
	_, _ = fmt.Fprintf(w, "%s %s %s", s.id, r.Method, r.RequestURI)
}

func (s *server) ran() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// Package soaker runs the real programs on loopback, harms them from outside by a schedule drawn from a seed, and checks
// what callers, targets and the operator see.
package soaker

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"chervilrail.example/platform/speaker"
	"chervilrail.example/standin/internal/starter"
)

const (
	controllers = 5
	entries     = 4
	targets     = 8
	callers     = 8
	service     = "listings"
	targetWork  = 15 * time.Millisecond
	// callerPause is the time between two requests of a caller.
	callerPause = 10 * time.Millisecond
	// settleTime is how long after the last fault everything has to work again.
	settleTime = 15 * time.Second
	startTime  = 20 * time.Second
	folderMode = 0o750
)

// Soak is one run. Set the exported fields, then Run it.
type Soak struct {
	Seed     uint64
	Length   time.Duration
	Programs string
	Folder   string
	// Net picks the loopback addresses, so that runs do not meet.
	Net byte
	// Print takes a line for each fault.
	Print func(line string)

	system  *starter.Routed
	witness witness
	mu      sync.Mutex
	targets []*standing
	started int
	group   sync.WaitGroup
	// busy holds the processes that a fault has not yet given back.
	busy map[string]bool
}

// Counts returns how many requests were sent and how many got a target's whole answer.
func (s *Soak) Counts() (sent, whole int) {
	s.witness.mu.Lock()
	defer s.witness.mu.Unlock()
	return s.witness.asked, s.witness.whole
}

// Run plays the schedule and returns the promises that were broken.
func (s *Soak) Run(ctx context.Context) ([]string, error) {
	if err := os.MkdirAll(s.Folder, folderMode); err != nil {
		return nil, err
	}
	s.busy = map[string]bool{}
	s.system = &starter.Routed{System: &starter.System{
		Programs: s.Programs, Folder: s.Folder, Net: s.Net, Places: []starter.Place{
			{Region: "almaty", Zone: "almaty-a"}, {Region: "astana", Zone: "astana-a"}, {Region: "almaty", Zone: "almaty-b"},
		},
	}}
	defer s.system.Close()
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	load, stop := context.WithCancel(ctx)
	s.group.Go(func() { s.operate(load) })
	for i := range callers {
		s.group.Go(func() { s.call(load, i) })
	}
	s.play(ctx)
	s.settle(ctx)
	stop()
	s.group.Wait()
	s.judge(ctx)
	return s.witness.broken, nil
}

// begin starts everything and waits until it serves.
func (s *Soak) begin(ctx context.Context) error {
	if err := s.system.StartRouted(controllers, entries); err != nil {
		return err
	}
	for range targets {
		if err := s.startTarget(); err != nil {
			return err
		}
	}
	operator := s.operator()
	c := s.client(0)
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline); time.Sleep(callerPause) {
		if operator.Put(ctx, speaker.Plan(1, 0, service)) == http.StatusOK && c.Send(ctx, http.MethodGet, "/safe/0", "k", "").Complete {
			s.witness.acked = 1
			return nil
		}
	}
	return &StartError{Folder: s.Folder}
}

func (s *Soak) operator() *speaker.Operator {
	return &speaker.Operator{Controllers: s.system.PlatformURLs()}
}

func (s *Soak) client(i int) *speaker.Client {
	place := s.system.Places[i%len(s.system.Places)]
	return &speaker.Client{
		Name: fmt.Sprintf("s%d-c%d", s.Seed, i), Region: place.Region, Zone: place.Zone, Directories: s.system.PlatformURLs(),
	}
}

// call sends requests, every other one of a kind that must not repeat.
func (s *Soak) call(ctx context.Context, i int) {
	c := s.client(i + 1)
	for n := 0; ctx.Err() == nil; n++ {
		method, path := http.MethodGet, fmt.Sprintf("/safe/%d?n=%%2F", n%11)
		if n%2 == 0 {
			method, path = http.MethodPost, fmt.Sprintf("/once/%d?n=%%2F", n%11)
		}
		a := c.Send(context.WithoutCancel(ctx), method, path, fmt.Sprint(n%11), "body")
		s.witness.answered(a, method, path)
		time.Sleep(max(callerPause, min(a.RetryAfter, time.Second)))
	}
}

// operate changes the plan again and again, sends what got no clear answer once more, and reads back.
func (s *Soak) operate(ctx context.Context) {
	operator := s.operator()
	for version := 2; ctx.Err() == nil; version++ {
		plan := speaker.Plan(version, version-1, service)
		for {
			status := operator.Put(ctx, plan)
			if status == http.StatusOK {
				s.witness.accepted(version)
				break
			}
			if ctx.Err() != nil {
				return
			}
			if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
				s.witness.refused(version, status)
				return
			}
			time.Sleep(callerPause)
		}
		floor := s.witness.newest()
		s.witness.read(floor, operator.Version(ctx))
		time.Sleep(10 * callerPause)
	}
}

// settle waits until every caller is served again.
func (s *Soak) settle(ctx context.Context) {
	deadline := time.Now().Add(settleTime)
	for i := range callers {
		c := s.client(callers + 1 + i)
		for !c.Send(ctx, http.MethodGet, "/safe/1", "k", "").Complete {
			if time.Now().After(deadline) {
				s.witness.fail("not served %s after the last fault: caller %d", settleTime, i)
				return
			}
			time.Sleep(10 * callerPause)
		}
	}
}

// StartError says that the system did not serve before any fault.
type StartError struct{ Folder string }

// Error implements error.
func (e *StartError) Error() string { return "the system does not serve; its logs are in " + e.Folder }

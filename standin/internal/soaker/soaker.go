// Package soaker runs the real programs on loopback addresses, injects faults from a schedule that is generated from a
// seed, and checks what callers, targets and the operator observe.
package soaker

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
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
	targetSlots = 3
	targetWork  = 15 * time.Millisecond
	// callerPause is the minimum time between two requests of a caller.
	callerPause = 10 * time.Millisecond
	// recoveryTimeout is the time after the last fault within which every caller must be served again.
	recoveryTimeout = 15 * time.Second
	startTimeout    = 20 * time.Second
	folderMode      = 0o750
)

// Soak is one run. Set the exported fields, then call Run.
type Soak struct {
	Seed     uint64
	Length   time.Duration
	Programs string
	Folder   string
	// Grace is the time from SIGTERM to the kill; zero stands for one that is drawn from the seed.
	Grace time.Duration
	// Net selects the loopback addresses, so that several runs can take place at the same time.
	Net byte
	// Print receives one line for each fault.
	Print func(line string)

	workload       workload
	attempts       attempts
	system         *starter.PlatformSystem
	checker        checker
	mu             sync.Mutex
	targets        []*relayedTarget
	startedTargets int
	group          sync.WaitGroup
	// down is set while nothing runs and just before; callers and the operator then send nothing new.
	down atomic.Bool
	// reserved contains the processes and zones that are reserved for a running fault.
	reserved     map[string]bool
	disturbances disturbances
	linkFaults   disturbances
	// stops, reloads and unplanned are the times of SIGTERM, of SIGHUP and of the other faults of entry instances and
	// controllers, by their addresses for callers. stopping are the times from SIGTERM to the end of the process, targetKills
	// those at which targets were killed.
	stops       disturbances
	reloads     disturbances
	stopping    disturbances
	unplanned   disturbances
	targetKills disturbances
	sessions    sessions
	// stalls are the times in which the machine did not run this process.
	stalls disturbances
	// leaving is the number of entry instances that leave as planned.
	leaving   int
	entryPIDs [entries]atomic.Int64
	// entryStarts are when the processes of entry instances started, in Unix milliseconds.
	entryStarts [entries]atomic.Int64
	// controllerFaults are the times of the faults of all controllers, under the name anyController.
	controllerFaults disturbances
}

// Counts returns the number of requests sent, and how many of them received the complete answer of a target.
func (s *Soak) Counts() (sent, complete int) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	return s.checker.sent, s.checker.complete
}

// LagsChecked returns how often the time was checked in which an accepted version came into force at an entry instance.
func (s *Soak) LagsChecked() int {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	return s.checker.lagsChecked
}

// LongWork returns how many requests that take long were sent to instances that had begun to leave, and how many of them
// received the complete answer of a target.
func (s *Soak) LongWork() (sent, complete int) {
	s.attempts.mu.Lock()
	defer s.attempts.mu.Unlock()
	for _, a := range s.attempts.list {
		if s.stopping.between(a.Instance, a.SentAt, a.SentAt) {
			sent++
			if a.Complete {
				complete++
			}
		}
	}
	return sent, complete
}

// Run runs the schedule and returns the violated guarantees. It returns a *StartError if the system does not serve
// requests before the first fault.
func (s *Soak) Run(ctx context.Context) ([]string, error) {
	if err := os.MkdirAll(s.Folder, folderMode); err != nil {
		return nil, err
	}
	s.reserved = map[string]bool{}
	s.workload = drawWorkload(s.Seed, s.Grace)
	s.Print(fmt.Sprintf("grace %s, first limits %s", s.workload.grace, s.workload.limits))
	s.system = &starter.PlatformSystem{Grace: s.workload.grace, System: &starter.System{
		Programs: s.Programs, Folder: s.Folder, Net: s.Net, Places: []starter.Place{
			{Region: "almaty", Zone: "almaty-a"}, {Region: "astana", Zone: "astana-a"}, {Region: "almaty", Zone: "almaty-b"},
		},
	}}
	defer s.system.Close()
	if err := s.startSystem(ctx); err != nil {
		return nil, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	s.group.Go(func() { s.watchMachine(loadCtx) })
	s.group.Go(func() { s.changePlans(loadCtx) })
	for i := range entries * instanceCallers {
		s.group.Go(func() { s.keepSending(loadCtx, i/instanceCallers, i%instanceCallers) })
	}
	for i := range callers {
		s.group.Go(func() { s.sendRequests(loadCtx, i) })
	}
	for i := range pipelines {
		s.group.Go(func() { s.pipeline(loadCtx, i) })
	}
	for i := range lookUps {
		s.group.Go(func() { s.lookUp(loadCtx, i) })
	}
	s.group.Go(func() { s.watchConnections(loadCtx) })
	s.group.Go(func() { s.watchDisk(loadCtx) })
	s.runSchedule(ctx)
	s.awaitRecovery(ctx)
	s.awaitTargets(ctx)
	stopLoad()
	s.group.Wait()
	s.checkEnd(ctx)
	s.checkExchanges(s.passages())
	s.checkAttempts(s.workRuns(), s.instancePlans())
	s.checkStatements(s.checker.answers)
	for i := range s.system.Entries {
		s.checkPlans(i)
	}
	return s.checker.violations, nil
}

// startSystem starts the processes and targets and waits until a plan is accepted and a request is served.
func (s *Soak) startSystem(ctx context.Context) error {
	if err := s.system.StartPlatformSystem(controllers, entries); err != nil {
		return err
	}
	for i, p := range s.system.Entries {
		s.entryPIDs[i].Store(int64(p.PID()))
		s.entryStarts[i].Store(time.Now().UnixMilli())
	}
	for i := range targets + workers {
		name := service
		if i >= targets {
			name = workService
		}
		if err := s.startTarget(name); err != nil {
			return err
		}
	}
	operator := s.operator()
	c := s.client(0)
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(callerPause) {
		if operator.Put(ctx, s.workload.plan(1)) == http.StatusOK &&
			c.Send(ctx, http.MethodGet, "/safe/0", "k", "").Complete {
			s.checker.acked = 1
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

// sendRequests sends requests until ctx is done. Every other request is not repeatable.
func (s *Soak) sendRequests(ctx context.Context, i int) {
	c := s.client(i + 1)
	for n := 0; ctx.Err() == nil; n++ {
		s.awaitUp(ctx)
		method, path := http.MethodGet, fmt.Sprintf("/safe/%d?n=%%2F", n%11)
		if n%2 == 0 {
			method, path = http.MethodPost, fmt.Sprintf("/once/%d?n=%%2F", n%11)
		}
		a := c.Send(context.WithoutCancel(ctx), method, path, fmt.Sprint(n%11), "body")
		s.checker.checkAnswer(a, method, path)
		time.Sleep(max(callerPause, min(a.RetryAfter, time.Second)))
	}
}

// awaitUp waits while nothing runs.
func (s *Soak) awaitUp(ctx context.Context) {
	for s.down.Load() && ctx.Err() == nil {
		time.Sleep(callerPause)
	}
}

// changePlans submits new versions of the plan until ctx is done. It resends a version that got no clear answer until
// it is accepted, and reads every other one back. A refusal with a 4xx status is a violation and ends it.
func (s *Soak) changePlans(ctx context.Context) {
	operator := s.operator()
	for version := 2; ctx.Err() == nil; version++ {
		s.awaitUp(ctx)
		plan := s.workload.plan(version)
		for {
			status := operator.Put(ctx, plan)
			if status == http.StatusOK {
				s.checker.recordAccepted(version)
				break
			}
			if ctx.Err() != nil {
				return
			}
			if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
				s.checker.failRefused(version, status)
				return
			}
			time.Sleep(callerPause)
		}
		// A read is an entry of the log, which takes the commit of the change before it to the controllers' disks.
		if version%2 == 0 && !s.down.Load() {
			floor := s.checker.newestAccepted()
			s.checker.checkRead(floor, operator.Version(ctx))
		}
		time.Sleep(10 * callerPause)
	}
}

// awaitRecovery waits until new callers are served again, and records a violation if that takes longer than
// recoveryTimeout.
func (s *Soak) awaitRecovery(ctx context.Context) {
	deadline := time.Now().Add(recoveryTimeout)
	for i := range callers {
		c := s.client(callers + 1 + i)
		for !c.Send(ctx, http.MethodGet, "/safe/1", "k", "").Complete {
			if time.Now().After(deadline) {
				s.checker.fail("caller not served within %s of the last fault: caller %d", recoveryTimeout, i)
				return
			}
			time.Sleep(10 * callerPause)
		}
	}
}

// StartError reports that the system did not serve requests before the first fault.
type StartError struct{ Folder string }

// Error implements error.
func (e *StartError) Error() string { return "system does not serve requests, logs are in " + e.Folder }

package soaker

import (
	"errors"
	"fmt"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"chervilrail.example/standin/internal/starter"
)

// The kinds of planned stops of entry instances beside entryStop, and of faults of targets whose requests take long.
const (
	// entryStopTwice sends a second SIGTERM soon after the first.
	entryStopTwice kind = "entry-stop-twice"
	// entryStopStarting sends a SIGTERM to a process that starts.
	entryStopStarting kind = "entry-stop-starting"
	// entryStopThawed suspends a process and sends SIGTERM right after SIGCONT.
	entryStopThawed kind = "entry-stop-thawed"
	// entryStopFrozen suspends a process for a while after SIGTERM.
	entryStopFrozen kind = "entry-stop-frozen"
	// entryStopReloading sends SIGHUP and SIGTERM, in one order or the other.
	entryStopReloading kind = "entry-stop-reloading"
	// entryRestartAll restarts all instances in turn.
	entryRestartAll kind = "entry-restart-all"
	workerKill      kind = "worker-kill"
	workerLeave     kind = "worker-leave"
	workerReset     kind = "worker-reset"
)

var (
	stopKinds   = []kind{entryStopTwice, entryStopStarting, entryStopThawed, entryStopFrozen, entryStopReloading}
	workerKinds = []kind{workerKill, workerLeave, workerReset}
)

const (
	// signalGap is at most the time between two signals that belong together, startSpread that between the start of a
	// process and a SIGTERM that is to come in it.
	signalGap   = 200 * time.Millisecond
	startSpread = 500 * time.Millisecond
	// maxFrozen is the longest suspension before a stop or in it.
	maxFrozen = time.Second
	// maxLeaving is the number of entry instances that may leave at the same time.
	maxLeaving = entries - 1
	// inTurnGrace is the longest grace period with which instances are restarted one after the other; with a longer one
	// their stops overlap.
	inTurnGrace = 4 * time.Second
)

// stopAndStart stops entry instance i as planned, in the way of a fault, and starts it again.
func (s *Soak) stopAndStart(f fault, i int) {
	if !s.beginLeaving() {
		return
	}
	defer s.endLeaving()
	p := s.system.Entries[i]
	gap := time.Duration(f.index) * time.Millisecond % signalGap
	switch f.kind {
	case entryStopThawed:
		end := s.unplanned.begin(s.callerAddress(i))
		s.freeze(p, min(f.duration, maxFrozen))
		end()
		s.stopEntry(i, p, nil)
	case entryStopTwice:
		s.stopEntry(i, p, func() {
			time.Sleep(gap)
			p.Terminate()
		})
	case entryStopFrozen:
		s.stopFrozen(i, p, gap, min(f.duration, maxFrozen))
	case entryStopReloading:
		s.stopReloading(i, p, f.index%2 == 0)
	case entryStopStarting:
		s.stopEntry(i, p, nil)
		s.checkStarted(p.Name, s.startEntry(i))
		time.Sleep(time.Duration(f.index) * time.Millisecond % startSpread)
		s.stopEntry(i, s.system.Entries[i], nil)
	default:
		s.stopEntry(i, p, nil)
	}
	s.checkStarted(p.Name, s.startEntry(i))
}

// stopEntry stops an entry instance as planned, and calls another function, unless it is nil, after SIGTERM. The exit
// status may tell that requests were cut if a caller did not read.
func (s *Soak) stopEntry(i int, p *starter.Process, meanwhile func()) {
	defer s.beginStop(i)()
	stoppedAt := time.Now()
	p.Terminate()
	cut := s.sessions.addMute(s.callerAddress(i), 0) > 0
	if meanwhile != nil {
		meanwhile()
	}
	err := p.Wait(time.Until(stoppedAt.Add(s.workload.grace)))
	age := stoppedAt.Sub(time.UnixMilli(s.entryStarts[i].Load()))
	if err != nil && !endsAsPlanned(err, cut, age) {
		s.checker.fail("planned stop of %s %s after its start failed: %v", s.callerAddress(i), age, err)
	}
}

// endsAsPlanned reports whether a process may end with an error at a planned stop: with exit status 1 if requests may have
// been cut, or by SIGTERM itself if it had only just started and does not handle it yet.
func endsAsPlanned(err error, cut bool, age time.Duration) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	if status, ok := exit.Sys().(syscall.WaitStatus); ok && status.Signal() == syscall.SIGTERM {
		return age < startSpread
	}
	return cut && exit.ExitCode() == 1
}

// stopFrozen suspends an entry instance a while after SIGTERM. It may then outlast its grace period, and is killed at its end.
func (s *Soak) stopFrozen(i int, p *starter.Process, after, duration time.Duration) {
	defer s.unplanned.begin(s.callerAddress(i))()
	defer s.beginStop(i)()
	killAt := time.Now().Add(s.workload.grace)
	p.Terminate()
	time.Sleep(after)
	s.freeze(p, duration)
	var late *starter.TimeoutError
	if errors.As(p.Wait(time.Until(killAt)), &late) {
		p.Kill()
	}
}

// stopReloading sends SIGHUP and SIGTERM to an entry instance.
func (s *Soak) stopReloading(i int, p *starter.Process, hangUpFirst bool) {
	hangUp := func() {
		s.reloads.record(s.callerAddress(i))
		_ = syscall.Kill(p.PID(), syscall.SIGHUP)
	}
	if hangUpFirst {
		hangUp()
		s.stopEntry(i, p, nil)
		return
	}
	s.stopEntry(i, p, hangUp)
}

// restartAll restarts all entry instances, one after the other or so that their stops overlap.
func (s *Soak) restartAll(f fault) {
	var group sync.WaitGroup
	for i := range entries {
		stop := func() { s.injectEntryFault(fault{kind: entryStop, index: f.index + i}) }
		if s.workload.grace <= inTurnGrace && f.index%2 == 0 {
			stop()
			continue
		}
		group.Go(stop)
		time.Sleep(s.workload.grace / 2)
	}
	group.Wait()
}

// beginStop records that entry instance i gets SIGTERM now, and returns a function that records that its process is gone.
func (s *Soak) beginStop(i int) (end func()) {
	s.stops.record(s.callerAddress(i))
	return s.stopping.begin(s.callerAddress(i))
}

// beginLeaving reports whether a further entry instance may leave, and counts it.
func (s *Soak) beginLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving >= maxLeaving {
		return false
	}
	s.leaving++
	return true
}

func (s *Soak) endLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving--
}

// stopController stops a controller as planned, in some cases with two signals, and starts it again.
func (s *Soak) stopController(f fault, i int) {
	p := s.system.Controllers[i]
	s.stops.record(s.system.PlatformAddress(i))
	stoppedAt := time.Now()
	p.Terminate()
	if f.index/controllers%2 == 0 {
		time.Sleep(time.Duration(f.index) * time.Millisecond % signalGap)
		p.Terminate()
	}
	if err := p.Wait(time.Until(stoppedAt.Add(s.workload.grace))); err != nil {
		s.checker.fail("planned stop of %s failed: %v", fmt.Sprintf("c%d", i), err)
	}
	s.checkStarted(p.Name, s.system.StartPlatformController(i, false))
}

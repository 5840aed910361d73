package soaker

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"syscall"
	"time"

	"chervilrail.example/platform/speaker"
	"chervilrail.example/standin/internal/relayer"
	"chervilrail.example/standin/internal/silencer"
	"chervilrail.example/standin/internal/starter"
)

const (
	// restartDelay is the time between the kill and the restart of a process.
	restartDelay = 300 * time.Millisecond
	// linkDelayTime is how long a delayed connection holds each chunk of data.
	linkDelayTime = 120 * time.Millisecond
)

// anyController is the name under which faults of controllers are recorded.
const anyController = "controller"

// anyTarget is the name under which the faults of all targets' links are recorded besides.
const anyTarget = "target"

// relayedTarget is a target whose connections go through a relay.
type relayedTarget struct {
	*speaker.Target
	relay *relayer.Relay
	// retired is set when the target was killed or has begun to leave. It then receives no more faults.
	retired bool
}

// startTarget starts a target of a service.
func (s *Soak) startTarget(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedTargets++
	slots := targetSlots
	if name == workService {
		slots = workerSlots
	}
	relay := &relayer.Relay{}
	t := &relayedTarget{relay: relay, Target: &speaker.Target{
		ID: fmt.Sprintf("t%d", s.startedTargets), Service: name,
		Zone:  s.system.Places[s.startedTargets%len(s.system.Places)].Zone,
		Slots: slots, Work: targetWork, Controllers: s.system.PlatformURLs(),
		MapAddress: func(address string) (string, error) {
			relay.Target = address
			return relay.Start("127.0.0.1")
		},
	}}
	s.targets = append(s.targets, t)
	return t.Start("127.0.0.1")
}

func (s *Soak) allTargets() []*relayedTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*relayedTarget{}, s.targets...)
}

// pickTarget returns a target of the first service, as pickOf does.
func (s *Soak) pickTarget(index int, retired bool) *relayedTarget {
	return s.pickOf(service, index, retired)
}

// pickOf returns a target of a service that is not retired, chosen by index modulo their number. With retired set it marks
// the target as retired.
func (s *Soak) pickOf(name string, index int, retired bool) *relayedTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []*relayedTarget
	for _, t := range s.targets {
		if t.Service == name && !t.retired {
			candidates = append(candidates, t)
		}
	}
	t := candidates[index%len(candidates)]
	t.retired = t.retired || retired
	return t
}

// reserve reserves a process or zone for one fault. It returns false if another fault has reserved it.
func (s *Soak) reserve(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved[name] {
		return false
	}
	s.reserved[name] = true
	return true
}

func (s *Soak) release(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reserved, name)
}

// runSchedule starts the faults at their scheduled times and waits until all of them have ended.
func (s *Soak) runSchedule(ctx context.Context) {
	start := time.Now()
	faults := schedule(s.Seed, s.Length)
	finished := make(chan struct{}, len(faults))
	running := 0
	for _, f := range faults {
		time.Sleep(time.Until(start.Add(f.at)))
		if ctx.Err() != nil {
			break
		}
		s.Print(fmt.Sprintf("%6.2f s  %s %d for %s", time.Since(start).Seconds(), f.kind, f.index, f.duration))
		running++
		go func() {
			s.inject(ctx, f)
			finished <- struct{}{}
		}()
	}
	for range running {
		<-finished
	}
}

func (s *Soak) inject(ctx context.Context, f fault) {
	switch f.kind {
	case entryKill, entryStop, entryFreeze, entryReload,
		entryStopTwice, entryStopStarting, entryStopThawed, entryStopFrozen, entryStopReloading:
		s.injectEntryFault(f)
	case entryRestartAll:
		s.restartAll(f)
	case workerKill, workerLeave, workerReset:
		s.injectWorkerFault(ctx, f)
	case controllerStop, controllerKill, controllerFreeze, controllerWipe:
		s.injectControllerFault(f)
	case controllerKillAll:
		s.killControllers(restartDelay)
	case killAll:
		s.killAll()
	case targetKill, targetLeave:
		s.injectTargetFault(ctx, f)
	case linkReset, linkSilence, linkMute, linkDelay:
		s.injectLinkFault(f)
	case evacuation:
		s.evacuate(ctx, f)
	case controlSilence:
		s.silenceControl(f)
	case foreignHeartbeat:
		s.impersonate(ctx, f)
	case targetReject, targetsRejectAll, targetLimit, targetSaysLeave:
		s.injectStatement(ctx, f)
	}
}

func (s *Soak) injectEntryFault(f fault) {
	i := f.index % entries
	name := fmt.Sprintf("e%d", i)
	if !s.reserve(name) {
		return
	}
	defer s.release(name)
	p := s.system.Entries[i]
	if f.kind != entryReload {
		defer s.disturb(i)()
	}
	switch f.kind {
	case entryKill:
		s.unplanned.record(s.callerAddress(i))
		p.Kill()
		time.Sleep(restartDelay)
		s.checkStarted(name, s.startEntry(i))
	case entryStop, entryStopTwice, entryStopStarting, entryStopThawed, entryStopFrozen, entryStopReloading:
		s.stopAndStart(f, i)
	case entryFreeze:
		defer s.unplanned.begin(s.callerAddress(i))()
		s.freeze(p, f.duration)
	default:
		s.reloads.record(s.callerAddress(i))
		if err := syscall.Kill(p.PID(), syscall.SIGHUP); err != nil {
			s.checker.fail("%s exited unexpectedly: %v", name, err)
		}
	}
}

// freeze suspends an entry instance for a duration. Its requests in flight may reach targets late.
func (s *Soak) freeze(p *starter.Process, duration time.Duration) {
	s.checker.recordFreeze()
	p.Freeze()
	time.Sleep(duration)
	p.Thaw()
}

// silenceControl makes the open connections for internal calls go silent at one controller, or at all entry instances that
// have no other fault.
func (s *Soak) silenceControl(f fault) {
	if f.index%2 == 0 {
		i := f.index / 2 % controllers
		s.silence(fmt.Sprintf("c%d", i), s.system.Controllers, i)
		return
	}
	for i := range entries {
		s.silence(fmt.Sprintf("e%d", i), s.system.Entries, i)
	}
}

// silence makes the open connections for internal calls go silent at process i of a list, unless it has another fault.
func (s *Soak) silence(name string, list []*starter.Process, i int) {
	if !s.reserve(name) {
		return
	}
	defer s.release(name)
	// Only now is it known that the process isn't just being replaced.
	if _, err := silencer.Silence(list[i].PID(), isControl); err != nil {
		s.checker.fail("connections of %s not silenced: %v", name, err)
	}
}

// impersonate sends a heartbeat of another writer for a service that no plan names to a controller, or to all: under the
// name of a target or another one, with its address, ready or leaving. It must have no effect.
func (s *Soak) impersonate(ctx context.Context, f fault) {
	t := s.pickTarget(f.index/8, false)
	h := speaker.Heartbeat{ID: t.ID, Service: "elsewhere", Born: time.Now().Add(time.Hour)}
	if f.index%2 == 0 {
		h.ID = "foreign-" + t.ID
	}
	if f.index/2%2 == 0 {
		h.State = "draining"
	}
	urls := s.system.PlatformURLs()
	if f.index/4%2 == 0 {
		urls = urls[:1]
	}
	for _, h.Controller = range urls {
		t.Impersonate(ctx, h)
	}
}

// isControl reports whether a connection belongs to the controllers' port for internal calls.
func isControl(local, remote netip.AddrPort) bool {
	return local.Port() == starter.ControlPort || remote.Port() == starter.ControlPort
}

func (s *Soak) checkStarted(name string, err error) {
	if err != nil {
		s.checker.fail("start of %s failed: %v", name, err)
	}
}

func (s *Soak) injectControllerFault(f fault) {
	i := f.index % controllers
	name := fmt.Sprintf("c%d", i)
	if !s.reserve(name) {
		return
	}
	defer s.release(name)
	defer s.controllerFaults.begin(anyController)()
	p := s.system.Controllers[i]
	if f.kind == controllerStop {
		s.stopController(f, i)
		return
	}
	defer s.unplanned.begin(s.system.PlatformAddress(i))()
	if f.kind == controllerFreeze {
		p.Freeze()
		time.Sleep(f.duration)
		p.Thaw()
		return
	}
	p.Kill()
	if f.kind == controllerWipe {
		s.checkStarted(name, os.RemoveAll(s.system.DataFolder(i)))
	}
	time.Sleep(f.duration)
	s.checkStarted(name, s.system.StartPlatformController(i, false))
}

// killAll kills all controllers and entry instances. They come back once every accepted change has to be in force, so
// that none of the instances may begin by an older plan. Changes pause before: the one that follows an accepted change
// takes its commit to the controllers' disks.
func (s *Soak) killAll() {
	s.down.Store(true)
	defer s.down.Store(false)
	time.Sleep(restartDelay)
	for i := range entries {
		if name := fmt.Sprintf("e%d", i); s.reserve(name) {
			defer s.release(name)
			defer s.disturb(i)()
			s.unplanned.record(s.callerAddress(i))
			s.system.Entries[i].Kill()
			defer func() { s.checkStarted(name, s.startEntry(i)) }()
		}
	}
	s.killControllers(changeLimit)
}

// killControllers kills all controllers and restarts them after a while.
func (s *Soak) killControllers(down time.Duration) {
	defer s.controllerFaults.begin(anyController)()
	for i := range controllers {
		if name := fmt.Sprintf("c%d", i); s.reserve(name) {
			defer s.release(name)
			s.unplanned.record(s.system.PlatformAddress(i))
			s.system.Controllers[i].Kill()
			defer func() { s.checkStarted(name, s.system.StartPlatformController(i, false)) }()
		}
	}
	time.Sleep(down)
}

// injectTargetFault kills a target or makes it leave, and starts another one in its place.
func (s *Soak) injectTargetFault(ctx context.Context, f fault) {
	t := s.pickTarget(f.index, true)
	s.checkStarted("target", s.startTarget(service))
	if f.kind == targetKill {
		s.killTarget(t)
		return
	}
	leaveCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if ackedAt, err := t.Leave(leaveCtx); err == nil {
		s.checker.recordDeparture(t.Target, ackedAt)
	}
}

func (s *Soak) killTarget(t *relayedTarget) {
	s.targetKills.record(t.ID)
	t.Kill()
	t.relay.Close()
}

func (s *Soak) injectLinkFault(f fault) {
	t := s.pickTarget(f.index, false)
	if f.kind != linkDelay {
		s.linkFaults.record(t.ID)
		s.linkFaults.record(anyTarget)
	}
	switch f.kind {
	case linkReset:
		t.relay.Reset()
	case linkSilence:
		t.relay.DropAll()
	case linkMute:
		t.relay.DropAnswers()
	default:
		t.relay.Delay(linkDelayTime)
		time.Sleep(f.duration)
		t.relay.Delay(0)
	}
}

func (s *Soak) evacuate(ctx context.Context, f fault) {
	zone := s.system.Places[f.index%len(s.system.Places)].Zone
	if !s.reserve(zone) {
		return
	}
	defer s.release(zone)
	operator := s.operator()
	operator.Evacuate(ctx, zone, true)
	time.Sleep(f.duration)
	for operator.Evacuate(ctx, zone, false) == 0 && ctx.Err() == nil {
		time.Sleep(callerPause)
	}
}

package soaker

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"chervilrail.example/platform/speaker"
	"chervilrail.example/standin/internal/relayer"
	"chervilrail.example/standin/internal/starter"
)

const (
	// stopTime is how long a planned stop may take.
	stopTime = 12 * time.Second
	// restartPause is how long a killed process is gone.
	restartPause = 300 * time.Millisecond
	// linkDelayTime is how long a harmed link holds each piece.
	linkDelayTime = 120 * time.Millisecond
)

// standing is a target with the relay before it.
type standing struct {
	*speaker.Target
	relay *relayer.Relay
	gone  bool
}

func (s *Soak) startTarget() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	relay := &relayer.Relay{}
	t := &standing{relay: relay, Target: &speaker.Target{
		ID: fmt.Sprintf("t%d", s.started), Service: service, Zone: s.system.Places[s.started%len(s.system.Places)].Zone,
		Slots: 3, Work: targetWork, Controllers: s.system.PlatformURLs(),
		MapAddress: func(address string) (string, error) {
			relay.Target = address
			return relay.Start("127.0.0.1")
		},
	}}
	s.targets = append(s.targets, t)
	return t.Start("127.0.0.1")
}

func (s *Soak) allTargets() []*standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*standing{}, s.targets...)
}

// standingTarget picks one of the targets that are not gone; with gone it is marked so.
func (s *Soak) standingTarget(which int, gone bool) *standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	var here []*standing
	for _, t := range s.targets {
		if !t.gone {
			here = append(here, t)
		}
	}
	t := here[which%len(here)]
	t.gone = t.gone || gone
	return t
}

// take reserves a process for one fault; false means that another one has it.
func (s *Soak) take(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[name] {
		return false
	}
	s.busy[name] = true
	return true
}

func (s *Soak) give(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, name)
}

// play runs the schedule and waits until all its faults are over.
func (s *Soak) play(ctx context.Context) {
	start := time.Now()
	ending := make(chan struct{}, len(kinds)*int(s.Length/minGap))
	running := 0
	for _, f := range schedule(s.Seed, s.Length) {
		time.Sleep(time.Until(start.Add(f.at)))
		if ctx.Err() != nil {
			break
		}
		s.Print(fmt.Sprintf("%6.2f s  %s %d for %s", time.Since(start).Seconds(), f.kind, f.which, f.span))
		running++
		go func() {
			s.strike(ctx, f)
			ending <- struct{}{}
		}()
	}
	for range running {
		<-ending
	}
}

func (s *Soak) strike(ctx context.Context, f fault) {
	switch f.kind {
	case entryKill, entryStop, entryFreeze, entryReload:
		s.strikeEntry(f)
	case controllerKill, controllerFreeze, controllerWipe:
		s.strikeController(f)
	case controllerKillAll:
		s.killControllers()
	case targetKill, targetLeave:
		s.strikeTarget(ctx, f)
	case linkReset, linkSilence, linkMute, linkDelay:
		s.strikeLink(f)
	case evacuation:
		s.evacuate(ctx, f)
	}
}

func (s *Soak) strikeEntry(f fault) {
	i := f.which % entries
	name := fmt.Sprintf("e%d", i)
	if !s.take(name) {
		return
	}
	defer s.give(name)
	p := s.system.Entries[i]
	switch f.kind {
	case entryKill:
		p.Kill()
		time.Sleep(restartPause)
		s.restart(name, s.system.StartRouter(i))
	case entryStop:
		if err := p.Stop(stopTime); err != nil {
			s.witness.fail("%s did not stop as planned: %v", name, err)
		}
		s.restart(name, s.system.StartRouter(i))
	case entryFreeze:
		s.freeze(p, f.span)
	default:
		if err := syscall.Kill(p.PID(), syscall.SIGHUP); err != nil {
			s.witness.fail("%s ended by itself: %v", name, err)
		}
	}
}

// freeze lets an entry instance stand still. What it had in hand reaches targets late.
func (s *Soak) freeze(p *starter.Process, span time.Duration) {
	s.witness.froze()
	p.Freeze()
	time.Sleep(span)
	p.Thaw()
}

func (s *Soak) restart(name string, err error) {
	if err != nil {
		s.witness.fail("%s does not start: %v", name, err)
	}
}

func (s *Soak) strikeController(f fault) {
	i := f.which % controllers
	name := fmt.Sprintf("c%d", i)
	if !s.take(name) {
		return
	}
	defer s.give(name)
	p := s.system.Controllers[i]
	if f.kind == controllerFreeze {
		p.Freeze()
		time.Sleep(f.span)
		p.Thaw()
		return
	}
	p.Kill()
	if f.kind == controllerWipe {
		s.restart(name, os.RemoveAll(s.system.DataFolder(i)))
	}
	time.Sleep(f.span)
	s.restart(name, s.system.StartSeeded(i, false))
}

func (s *Soak) killControllers() {
	for i := range controllers {
		if name := fmt.Sprintf("c%d", i); s.take(name) {
			defer s.give(name)
			s.system.Controllers[i].Kill()
			defer func() { s.restart(name, s.system.StartSeeded(i, false)) }()
		}
	}
	time.Sleep(restartPause)
}

// strikeTarget ends a target; another one takes its place.
func (s *Soak) strikeTarget(ctx context.Context, f fault) {
	t := s.standingTarget(f.which, true)
	s.restart("target", s.startTarget())
	if f.kind == targetKill {
		t.Kill()
		t.relay.Close()
		return
	}
	leave, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	if at, err := t.Leave(leave); err == nil {
		s.witness.departed(t.Target, at)
	}
}

func (s *Soak) strikeLink(f fault) {
	t := s.standingTarget(f.which, false)
	switch f.kind {
	case linkReset:
		t.relay.Reset()
	case linkSilence:
		t.relay.Silence()
	case linkMute:
		t.relay.Mute()
	default:
		t.relay.Delay(linkDelayTime)
		time.Sleep(f.span)
		t.relay.Delay(0)
	}
}

func (s *Soak) evacuate(ctx context.Context, f fault) {
	zone := s.system.Places[f.which%len(s.system.Places)].Zone
	if !s.take(zone) {
		return
	}
	defer s.give(zone)
	operator := s.operator()
	operator.Evacuate(ctx, zone, true)
	time.Sleep(f.span)
	for operator.Evacuate(ctx, zone, false) == 0 && ctx.Err() == nil {
		time.Sleep(callerPause)
	}
}

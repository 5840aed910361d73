package soaker

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"chervilrail.example/platform/speaker"
	"chervilrail.example/standin/internal/silencer"
)

const (
	// pipelines is the number of callers that send further requests before the first is answered.
	pipelines = 27
	// holdTime is how long a caller that does not close its side keeps a connection that its instance has closed.
	holdTime = 8 * time.Second
	// closedLimit is how long an instance may keep the descriptor of a connection after it has sent its end: closedWait for
	// the other side's end, and as long again for delays of the machine.
	closedWait  = 2 * time.Second
	closedLimit = 2 * closedWait
	// mutePause is how long a caller that does not read pauses between two connections: some instances then have none.
	mutePause = 2 * time.Second
	// watchInterval is the interval at which the open connections of instances are listed.
	watchInterval = 500 * time.Millisecond
)

// pipelineHabit is a speaker.Habit. With hold set, the caller does not close connections that its instance has closed.
type pipelineHabit struct {
	speaker.Habit
	hold bool
}

var pipelineHabits = []pipelineHabit{
	{Habit: speaker.Habit{Depth: 3, Fill: 30 << 10, Buffer: 2 << 10, Part: 4 << 10, Pause: 20 * time.Millisecond}},
	{Habit: speaker.Habit{Depth: 6, Fill: 12 << 10, Buffer: 1 << 10, Part: 4 << 10, Pause: 20 * time.Millisecond}, hold: true},
	{Habit: speaker.Habit{Depth: 2, Fill: 30 << 10}},
	{Habit: speaker.Habit{Depth: 2, Fill: 20 << 10, Buffer: 2 << 10, Part: 2 << 10, Pause: 25 * time.Millisecond}},
	{Habit: speaker.Habit{Depth: 4, Fill: 12 << 10, Buffer: 1 << 10, Part: 4 << 10, Pause: 20 * time.Millisecond, Rest: time.Second}},
	{Habit: speaker.Habit{Depth: 1, Fill: 12 << 10, Buffer: 1 << 10, Part: 4 << 10, Pause: 20 * time.Millisecond}, hold: true},
	{Habit: speaker.Habit{Depth: 5, Fill: 12 << 10, Buffer: 2 << 10, Part: 4 << 10, Pause: 30 * time.Millisecond}},
	{Habit: speaker.Habit{Depth: 3, Fill: 30 << 10, Buffer: 2 << 10, Part: 1 << 10, Pause: 40 * time.Millisecond}},
	{Habit: speaker.Habit{Depth: 6, Fill: 30 << 10, Buffer: 1 << 10, Mute: true}},
}

// sessions are the connections of the pipelines: what became of their requests, and those that the callers still hold
// though their instances have closed them, with the times of their ends.
type sessions struct {
	mu        sync.Mutex
	exchanges []*speaker.Exchange
	held      map[endpoints]time.Time
	// mute is the number of connections that callers that do not read have to each instance.
	mute map[string]int
}

// endpoints are the addresses of both ends of a connection. A caller's port may be in use towards several instances at the
// same time.
type endpoints struct {
	caller, instance netip.AddrPort
}

// overdue is a connection that an instance keeps for longer than it may.
type overdue struct {
	endpoints
	endedAt time.Time
}

// addMute adds to the number of connections to an instance of callers that do not read, and returns it.
func (h *sessions) addMute(instance string, n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mute == nil {
		h.mute = map[string]int{}
	}
	h.mute[instance] += n
	return h.mute[instance]
}

func (h *sessions) hold(c endpoints, endedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held == nil {
		h.held = map[endpoints]time.Time{}
	}
	h.held[c] = endedAt
}

func (h *sessions) release(s *speaker.Session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, endpointsOf(s))
	_ = s.Close()
}

// overdue returns the connections of an instance, given the callers' addresses of all that it has open, that are held and
// ended more than closedLimit ago.
func (h *sessions) overdue(instance netip.AddrPort, open []netip.AddrPort, now time.Time) []overdue {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []overdue
	for _, caller := range open {
		c := endpoints{caller, instance}
		if endedAt, held := h.held[c]; held && now.Sub(endedAt) > closedLimit {
			out = append(out, overdue{c, endedAt})
		}
	}
	return out
}

// forget ends the watch of a connection.
func (h *sessions) forget(c endpoints) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, c)
}

func endpointsOf(s *speaker.Session) endpoints {
	return endpoints{addressOf(s.LocalAddr()), addressOf(s.RemoteAddr())}
}

func addressOf(a net.Addr) netip.AddrPort {
	address, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// pipeline uses one connection after the other until ctx is done.
func (s *Soak) pipeline(ctx context.Context, i int) {
	habit := pipelineHabits[i%len(pipelineHabits)]
	fill := strconv.Itoa(habit.Fill)
	p := &speaker.Pipeline{Client: s.client(i), Habit: s.workload.paced(habit.Habit), Received: func(e *speaker.Exchange) {
		s.checker.checkPipelined(e, fill)
		e.Body = ""
	}}
	p.Name = fmt.Sprintf("s%d-p%d", s.Seed, i)
	for ctx.Err() == nil {
		s.awaitUp(ctx)
		session := p.Open(context.WithoutCancel(ctx))
		if session == nil {
			time.Sleep(callerPause)
			continue
		}
		if habit.Mute {
			s.sessions.addMute(session.Instance, 1)
		}
		p.Use(ctx, session, func(n int) (path, key string) {
			return fmt.Sprintf("/long/%d?n=%d&fill=%s", n%11, n, fill), fmt.Sprint(n % 11)
		})
		s.recordSession(session)
		if habit.hold && !session.EndedAt.IsZero() {
			s.sessions.hold(endpointsOf(session), session.EndedAt)
			time.AfterFunc(holdTime, func() { s.sessions.release(session) })
		} else {
			_ = session.Close()
		}
		time.Sleep(callerPause)
		if habit.Mute {
			s.sessions.addMute(session.Instance, -1)
			time.Sleep(mutePause)
		}
	}
}

// recordSession records the requests of a session for checkExchanges.
func (s *Soak) recordSession(session *speaker.Session) {
	if session.Excess {
		s.checker.fail("%s received bytes behind the last answer that was due", session.LocalAddr())
	}
	s.sessions.mu.Lock()
	defer s.sessions.mu.Unlock()
	s.sessions.exchanges = append(s.sessions.exchanges, session.Exchanges...)
}

// watchConnections checks until ctx is done that instances do not keep connections that they have closed.
func (s *Soak) watchConnections(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(watchInterval) {
		for i := range entries {
			s.checkClosed(i)
		}
	}
}

// checkClosed checks the open connections of an entry instance.
func (s *Soak) checkClosed(i int) {
	address := s.callerAddress(i)
	instance := netip.MustParseAddrPort(address)
	open, err := silencer.Open(int(s.entryPIDs[i].Load()), instance)
	now := time.Now()
	if err != nil {
		if !s.disturbances.between(address, now.Add(-2*s.workload.grace), now) {
			s.checker.fail("connections of %s not listed: %v", address, err)
		}
		return
	}
	for _, o := range s.sessions.overdue(instance, open, now) {
		if !s.unplanned.between(address, o.endedAt, now) {
			s.checker.fail("%s keeps the connection of %s open %s after its end", address, o.caller, now.Sub(o.endedAt))
			s.sessions.forget(o.endpoints)
		}
	}
}

// startEntry starts or restarts entry instance i.
func (s *Soak) startEntry(i int) error {
	err := s.system.StartPlatformEntry(i)
	if err == nil {
		s.entryPIDs[i].Store(int64(s.system.Entries[i].PID()))
		s.entryStarts[i].Store(time.Now().UnixMilli())
	}
	return err
}

package experimenter

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chervilrail.example/core/balancer"
	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/registrar"
)

const (
	uploadFactor = 20
	// callerTimeout is how long a caller waits for an answer. Uploads have no timeout.
	callerTimeout = 3 * time.Second
	// networkDelay is the time from sending a request until it reaches the target.
	networkDelay = time.Millisecond
)

// call is one request of a caller.
type call struct {
	class    cataloguer.Class
	due      time.Time
	deadline time.Time
	work     time.Duration
	entry    int
	tries    int
	ended    bool
}

// policy decides how the requests of callers reach the targets.
type policy interface {
	arrive(w *simulation, c *call)
	tick(w *simulation)
}

// simulatedTarget is a target with its slots. The policy decides whether requests without a free slot are shed or
// queued.
type simulatedTarget struct {
	*balancer.Target
	queue   []func()
	busy    int
	peak    int
	lost    bool
	leaving bool
	// announcedAt is the time of the last announcement of a lost target.
	announcedAt time.Time
}

// expired reports whether the lease of a lost target has expired.
func (h *simulatedTarget) expired(now time.Time) bool {
	return h.lost && now.Sub(h.announcedAt) >= registrar.Lease
}

// simulation contains the logical clock, the pending events, the targets and the results of a run.
type simulation struct {
	*Scenario
	now     time.Time
	random  *rand.Rand
	events  events
	serial  int
	targets []*simulatedTarget
	policy  policy
	result  *Result
}

// Result contains the figures of one run as callers observed them.
type Result struct {
	Classes map[cataloguer.Class]*ClassResult
	// Retries counts attempts after the first, Overcommitted counts work started without a free slot, and Shed counts
	// requests that targets refused for lack of a slot.
	Retries       int
	Overcommitted int
	Shed          int
	// Goodput contains the answers a second in each phase, Offered the requests a second.
	Goodput []float64
	Offered []float64
	phase   int
	answers []int
	// work contains the total slot time of the answered requests in each phase.
	work  []time.Duration
	calls []int
	// LateStarts counts work started at a leaving target more than three seconds after the target announced that it
	// leaves.
	LateStarts int
}

// ClassResult contains the figures of one class; Times are in microseconds.
type ClassResult struct {
	Calls    int
	Answered int
	Refused  int
	Failed   int
	Times    *hdrhistogram.Histogram
}

type event struct {
	at     time.Time
	serial int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) {
	if v, ok := x.(event); ok {
		*e = append(*e, v)
	}
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (w *simulation) after(d time.Duration, run func()) {
	w.serial++
	heap.Push(&w.events, event{w.now.Add(d), w.serial, run})
}

func newSimulation(s *Scenario, build func(w *simulation) policy) *simulation {
	w := &simulation{
		Scenario: s,
		now:      time.Unix(1_000_000, 0),
		random:   rand.New(rand.NewPCG(uint64(s.Seed), 41)),
		result: &Result{
			Classes: map[cataloguer.Class]*ClassResult{},
			answers: make([]int, len(s.Phases)),
			work:    make([]time.Duration, len(s.Phases)),
			calls:   make([]int, len(s.Phases)),
		},
	}
	for _, c := range cataloguer.Classes() {
		w.result.Classes[c] = &ClassResult{Times: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
	}
	for range s.Targets {
		w.targets = append(w.targets, &simulatedTarget{Target: &balancer.Target{Region: "r", Slots: int32(s.Slots)}})
	}
	w.policy = build(w)
	return w
}

// Run simulates a scenario with one policy.
func Run(s *Scenario, build func(w *simulation) policy) *Result {
	w := newSimulation(s, build)
	var start time.Duration
	for i := range s.Phases {
		w.after(start, func() { w.startPhase(i) })
		start += s.Phases[i].Length
	}
	end := w.now.Add(start)
	w.after(0, func() { w.tick(end) })
	w.after(0, func() { w.scheduleArrivals(end) })
	for len(w.events) > 0 {
		e, ok := heap.Pop(&w.events).(event)
		if !ok {
			break
		}
		w.now = e.at
		e.run()
	}
	for i, p := range s.Phases {
		w.result.Goodput = append(w.result.Goodput, float64(w.result.answers[i])/p.Length.Seconds())
		w.result.Offered = append(w.result.Offered, float64(w.result.calls[i])/p.Length.Seconds())
	}
	return w.result
}

// utilisation returns the percentage of the total slot time of a phase that was spent on answered requests.
func (r *Result) utilisation(s *Scenario, phase int) float64 {
	all := s.Phases[phase].Length * time.Duration(s.Targets*s.Slots)
	return percent * float64(r.work[phase]) / float64(all)
}

func (w *simulation) startPhase(phase int) {
	w.result.phase = phase
	p := w.Phases[phase]
	for i, h := range w.targets {
		lost := int64(i) < p.Lost
		if lost && !h.lost {
			h.announcedAt = w.now
		}
		h.lost = lost
		h.leaving = int64(i) >= p.Lost && int64(i) < p.Lost+p.Leaving
	}
}

const tickInterval = 20 * time.Millisecond

func (w *simulation) tick(end time.Time) {
	w.policy.tick(w)
	if w.now.Before(end) {
		w.after(tickInterval, func() { w.tick(end) })
	}
}

// scheduleArrivals makes one call arrive now and schedules the next one. The intervals are exponentially distributed,
// with the mean that gives the load of the phase.
func (w *simulation) scheduleArrivals(end time.Time) {
	if !w.now.Before(end) {
		return
	}
	rate := w.capacity() * float64(w.Phases[w.result.phase].Load) / percent
	if rate <= 0 {
		w.after(tickInterval, func() { w.scheduleArrivals(end) })
		return
	}
	w.arrive()
	gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	w.after(gap, func() { w.scheduleArrivals(end) })
}

func (w *simulation) arrive() {
	c := &call{class: w.class(), due: w.now, entry: w.random.IntN(int(w.Entries))}
	c.work = time.Duration(w.random.ExpFloat64() * float64(w.Service))
	if c.class == cataloguer.Upload {
		c.work *= uploadFactor
	} else {
		c.deadline = w.now.Add(callerTimeout)
	}
	w.result.Classes[c.class].Calls++
	w.result.calls[w.result.phase]++
	w.policy.arrive(w, c)
}

func (w *simulation) class() cataloguer.Class {
	n := w.random.Int64N(percent)
	for _, c := range []cataloguer.Class{cataloguer.Urgent, cataloguer.Once, cataloguer.Upload} {
		if n < w.Shares[c] {
			return c
		}
		n -= w.Shares[c]
	}
	return cataloguer.Browse
}

// answered counts an answer to a call that has not ended yet, as failed if it arrives after the deadline of the call.
func (w *simulation) answered(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	r := w.result.Classes[c.class]
	if !c.deadline.IsZero() && w.now.After(c.deadline) {
		r.Failed++
		return
	}
	r.Answered++
	w.result.answers[w.result.phase]++
	w.result.work[w.result.phase] += c.work
	_ = r.Times.RecordValue(int64(w.now.Sub(c.due) / time.Microsecond))
}

func (w *simulation) refused(c *call) {
	if !c.ended {
		c.ended = true
		w.result.Classes[c.class].Refused++
	}
}

func (w *simulation) failed(c *call) {
	if !c.ended {
		c.ended = true
		w.result.Classes[c.class].Failed++
	}
}

// runWork occupies a slot of a target for the work of a call, then calls done and starts the next queued request.
func (w *simulation) runWork(h *simulatedTarget, c *call, done func()) {
	h.busy++
	h.peak = max(h.peak, h.busy)
	if h.busy > int(w.Slots) {
		w.result.Overcommitted++
	}
	w.after(c.work, func() {
		h.busy--
		done()
		if len(h.queue) > 0 && h.busy < int(w.Slots) {
			run := h.queue[0]
			h.queue = h.queue[1:]
			run()
		}
	})
}

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
	// callerTimeout is how long a caller waits for an answer; uploads wait as long as it takes.
	callerTimeout = 3 * time.Second
	networkDelay  = time.Millisecond
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

// policy is what lies between callers and targets.
type policy interface {
	arrive(w *simulation, c *call)
	tick(w *simulation)
}

// simulatedTarget is a target with its slots. What does not fit is shed or queued, as the policy's targets do.
type simulatedTarget struct {
	*balancer.Target
	queue   []func()
	busy    int
	peak    int
	lost    bool
	leaving bool
	// announcedAt is when a lost host announced itself last.
	announcedAt time.Time
}

// expired reports whether the host's last announcement no longer holds.
func (h *simulatedTarget) expired(now time.Time) bool {
	return h.lost && now.Sub(h.announcedAt) >= registrar.Lease
}

// simulation is the logical time, the targets and the counts.
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

// Result is what the callers of one run saw.
type Result struct {
	Classes map[cataloguer.Class]*ClassResult
	// Retries counts attempts beyond the first; Outside counts work that began without a free slot.
	Retries       int
	Overcommitted int
	Shed          int
	// Goodput is the answers a second in each phase, and Offered the requests.
	Goodput []float64
	Offered []float64
	phase   int
	answers []int
	// work is the slot time of the answers in each phase.
	work  []time.Duration
	calls []int
	// LateStarts counts work that began at a leaving target more than three seconds after it said so.
	LateStarts int
}

// ClassResult is the part of one class.
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

// Run plays the scenario against one policy.
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

// utilisation is the percentage of all slot time in a phase that went into answers.
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

// scheduleArrivals lets one caller arrive and arranges the one after it, at random times around the phase's load.
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

// answered counts an answer if its caller still waits.
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

// runWork runs work in a slot and calls done when it is over.
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

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
	// patience is how long a caller waits for an answer; uploads wait as long as it takes.
	patience = 3 * time.Second
	wire     = time.Millisecond
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
	arrive(w *world, c *call)
	tick(w *world)
}

// host is a target with its slots. What does not fit is shed or queued, as the policy's targets do.
type host struct {
	*balancer.Target
	queue   []func()
	busy    int
	most    int
	lost    bool
	leaving bool
	// lostAt is when a lost host announced itself last.
	lostAt time.Time
}

// silent reports whether the host's last announcement no longer holds.
func (h *host) silent(now time.Time) bool {
	return h.lost && now.Sub(h.lostAt) >= registrar.Lease
}

// world is the logical time, the targets and the counts.
type world struct {
	*Scenario
	now    time.Time
	random *rand.Rand
	events events
	serial int
	hosts  []*host
	policy policy
	result *Result
}

// Result is what the callers of one run saw.
type Result struct {
	Classes map[cataloguer.Class]*ClassResult
	// Retries counts attempts beyond the first; Outside counts work that began without a free slot.
	Retries int
	Outside int
	Shed    int
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

func (w *world) after(d time.Duration, run func()) {
	w.serial++
	heap.Push(&w.events, event{w.now.Add(d), w.serial, run})
}

func newWorld(s *Scenario, build func(w *world) policy) *world {
	w := &world{
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
		w.hosts = append(w.hosts, &host{Target: &balancer.Target{Region: "r", Slots: int32(s.Slots)}})
	}
	w.policy = build(w)
	return w
}

// Run plays the scenario against one policy.
func Run(s *Scenario, build func(w *world) policy) *Result {
	w := newWorld(s, build)
	var start time.Duration
	for i := range s.Phases {
		w.after(start, func() { w.enter(i) })
		start += s.Phases[i].Length
	}
	end := w.now.Add(start)
	w.after(0, func() { w.tick(end) })
	w.after(0, func() { w.next(end) })
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

// useful is the percentage of all slot time in a phase that went into answers.
func (r *Result) useful(s *Scenario, phase int) float64 {
	all := s.Phases[phase].Length * time.Duration(s.Targets*s.Slots)
	return percent * float64(r.work[phase]) / float64(all)
}

func (w *world) enter(phase int) {
	w.result.phase = phase
	p := w.Phases[phase]
	for i, h := range w.hosts {
		lost := int64(i) < p.Lost
		if lost && !h.lost {
			h.lostAt = w.now
		}
		h.lost = lost
		h.leaving = int64(i) >= p.Lost && int64(i) < p.Lost+p.Leaving
	}
}

const tickTime = 20 * time.Millisecond

func (w *world) tick(end time.Time) {
	w.policy.tick(w)
	if w.now.Before(end) {
		w.after(tickTime, func() { w.tick(end) })
	}
}

// next lets one caller arrive and arranges the one after it, at random times around the phase's load.
func (w *world) next(end time.Time) {
	if !w.now.Before(end) {
		return
	}
	rate := w.capacity() * float64(w.Phases[w.result.phase].Load) / percent
	if rate <= 0 {
		w.after(tickTime, func() { w.next(end) })
		return
	}
	w.arrive()
	gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	w.after(gap, func() { w.next(end) })
}

func (w *world) arrive() {
	c := &call{class: w.class(), due: w.now, entry: w.random.IntN(int(w.Entries))}
	c.work = time.Duration(w.random.ExpFloat64() * float64(w.Service))
	if c.class == cataloguer.Upload {
		c.work *= uploadFactor
	} else {
		c.deadline = w.now.Add(patience)
	}
	w.result.Classes[c.class].Calls++
	w.result.calls[w.result.phase]++
	w.policy.arrive(w, c)
}

func (w *world) class() cataloguer.Class {
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
func (w *world) answered(c *call) {
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

func (w *world) refused(c *call) {
	if !c.ended {
		c.ended = true
		w.result.Classes[c.class].Refused++
	}
}

func (w *world) failed(c *call) {
	if !c.ended {
		c.ended = true
		w.result.Classes[c.class].Failed++
	}
}

// begin runs work in a slot and calls done when it is over.
func (w *world) begin(h *host, c *call, done func()) {
	h.busy++
	h.most = max(h.most, h.busy)
	if h.busy > int(w.Slots) {
		w.result.Outside++
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

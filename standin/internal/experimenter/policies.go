package experimenter

import (
	"strconv"
	"time"

	"chervilrail.example/core/admitter"
	"chervilrail.example/core/balancer"
	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/partitioner"
	"chervilrail.example/core/retrier"
	"chervilrail.example/core/tuner"
)

// naive is the policy for comparison: it sends requests to all targets in turn, which queue them, and resends them
// after naiveTimeout.
type naive struct {
	next int
}

const (
	naiveTimeout  = time.Second
	naiveAttempts = 3
)

func newNaive(*simulation) policy { return &naive{} }

func (n *naive) tick(*simulation) {}

func (n *naive) arrive(w *simulation, c *call) {
	if c.ended {
		return
	}
	c.tries++
	h := w.targets[n.next%len(w.targets)]
	n.next++
	w.after(networkDelay, func() { n.enqueue(w, h, c) })
	if c.class == cataloguer.Upload {
		return
	}
	w.after(naiveTimeout, func() {
		if c.ended {
			return
		}
		if c.tries >= naiveAttempts || c.class == cataloguer.Once {
			w.failed(c)
			return
		}
		w.result.Retries++
		n.arrive(w, c)
	})
}

// enqueue runs a request when a slot is free. It also runs requests whose caller no longer waits, because the target is
// not notified of that.
func (n *naive) enqueue(w *simulation, h *simulatedTarget, c *call) {
	if h.lost {
		return
	}
	start := func() { w.runWork(h, c, func() { w.answered(c) }) }
	if h.busy < int(w.Slots) {
		start()
		return
	}
	h.queue = append(h.queue, start)
}

// systemPolicy is the policy of this system: each entry instance has its own set of the decision packages.
type systemPolicy struct {
	instances []*instance
}

type instance struct {
	name     string
	queue    admitter.Admitter
	limit    tuner.Tuner
	budget   *retrier.Budget
	balancer balancer.Balancer
	pool     *balancer.Pool
	// targets maps this instance's view of each target, with its own request counts, to the simulated target.
	targets map[*balancer.Target]*simulatedTarget
	calls   map[*admitter.Ticket]*call
}

func newSystemPolicy(w *simulation) policy {
	o := &systemPolicy{}
	for i := range w.Entries {
		in := &instance{
			name:    strconv.Itoa(int(i)),
			budget:  retrier.New(),
			targets: map[*balancer.Target]*simulatedTarget{},
			calls:   map[*admitter.Ticket]*call{},
		}
		in.balancer.Random = w.random.Uint64
		in.refresh(w)
		o.instances = append(o.instances, in)
	}
	return o
}

// refresh rebuilds the instance's pool from the targets that are neither leaving nor expired.
func (in *instance) refresh(w *simulation) {
	tier := balancer.Tier{Region: "r"}
	var candidates []partitioner.Target
	for i, h := range w.targets {
		u := in.targetFor(h)
		if h.leaving || h.expired(w.now) {
			continue
		}
		candidates = append(candidates, partitioner.Target{Name: strconv.Itoa(i), Region: "r", Slots: int32(w.Slots)})
		tier.Targets = append(tier.Targets, u)
	}
	for i, n := range partitioner.Partition(in.name, partitioner.NewMembers(w.instances()), candidates) {
		tier.Targets[i].SetOwnSlots(n)
	}
	in.pool = &balancer.Pool{Tiers: []balancer.Tier{tier}}
	ownSlots := in.pool.OwnSlots(w.now)
	in.limit.SetBounds(ownSlots, ownSlots+in.pool.BorrowableSlots(w.now)/int(w.Entries))
}

// instances returns the entry instances as partitioner instances.
func (w *simulation) instances() []partitioner.Instance {
	var out []partitioner.Instance
	for i := range w.Entries {
		out = append(out, partitioner.Instance{Name: strconv.Itoa(int(i)), Region: "r"})
	}
	return out
}

// targetFor returns the instance's view of a simulated target. If there is none yet, it creates one.
func (in *instance) targetFor(h *simulatedTarget) *balancer.Target {
	for u, o := range in.targets {
		if o == h {
			return u
		}
	}
	u := &balancer.Target{Region: "r", Slots: h.Slots}
	in.targets[u] = h
	return u
}

func (o *systemPolicy) tick(w *simulation) {
	for _, in := range o.instances {
		if w.now.UnixMilli()%200 == 0 {
			in.refresh(w)
			in.report(w)
		}
		for _, t := range in.queue.Expire(w.now) {
			w.refused(in.calls[t])
			delete(in.calls, t)
		}
	}
}

// report sets the loads that the targets have reported, once a second; their age is Scenario.Reports.
func (in *instance) report(w *simulation) {
	if w.Reports == 0 || w.now.UnixMilli()%1000 != 0 {
		return
	}
	for u, h := range in.targets {
		u.SetReport(balancer.Report{Load: int32(h.busy), At: w.now.Add(-w.Reports)})
	}
}

func (o *systemPolicy) arrive(w *simulation, c *call) {
	in := o.instances[c.entry]
	in.resize(w, o)
	t := &admitter.Ticket{Class: c.class, Organisation: "organisation", Deadline: c.deadline}
	d, decided := in.queue.Offer(w.now, t)
	switch {
	case !decided:
		in.calls[t] = c
	case d.Admitted:
		o.start(w, in, t, c)
	default:
		w.refused(c)
	}
}

// resize applies the limit of the tuner to the admitter, and starts the calls that it then admits.
func (in *instance) resize(w *simulation, o *systemPolicy) {
	if in.limit.Limit() != in.queue.Capacity() {
		o.admit(w, in, in.queue.SetCapacity(w.now, in.limit.Limit()))
	}
}

// admit starts the calls of tickets that were admitted from the queue.
func (o *systemPolicy) admit(w *simulation, in *instance, tickets []*admitter.Ticket) {
	for _, t := range tickets {
		c := in.calls[t]
		delete(in.calls, t)
		o.start(w, in, t, c)
	}
}

// finish releases the slot of a call in the admitter, and starts the calls that are admitted instead.
func (o *systemPolicy) finish(w *simulation, in *instance, t *admitter.Ticket) {
	o.admit(w, in, in.queue.Done(w.now, t))
	in.resize(w, o)
}

// start begins the attempts of a call that the admitter has admitted.
func (o *systemPolicy) start(w *simulation, in *instance, t *admitter.Ticket, c *call) {
	o.attempt(w, in, t, c, nil)
}

// attempt sends a call to a target that has not been tried, or refuses the call if its deadline has passed. If the
// balancer finds no target, it waits for retryPause and considers all targets again.
func (o *systemPolicy) attempt(w *simulation, in *instance, t *admitter.Ticket, c *call, tried []*balancer.Target) {
	if !c.deadline.IsZero() && !w.now.Before(c.deadline) {
		w.refused(c)
		o.finish(w, in, t)
		return
	}
	u := in.balancer.Choose(w.now, in.pool, "r", tried)
	if u == nil {
		w.after(retryPause, func() { o.attempt(w, in, t, c, nil) })
		return
	}
	c.tries++
	h := in.targets[u]
	w.after(networkDelay, func() {
		switch {
		case h.lost:
			u.Release()
			u.Fail(w.now)
			o.retryOrRefuse(w, in, t, c, append(tried, u))
		case h.busy >= int(w.Slots):
			w.result.Shed++
			u.Release()
			in.limit.RecordShed(w.now)
			o.retryOrRefuse(w, in, t, c, append(tried, u))
		default:
			o.run(w, in, t, c, u)
		}
	})
}

const retryPause = 2 * time.Millisecond

func (o *systemPolicy) run(w *simulation, in *instance, t *admitter.Ticket, c *call, u *balancer.Target) {
	w.runWork(in.targets[u], c, func() {
		u.Release()
		u.Succeed()
		in.budget.RecordSuccess()
		in.limit.RecordSuccess(in.queue.Running() >= in.queue.Capacity())
		w.answered(c)
		o.finish(w, in, t)
	})
}

// retryOrRefuse makes another attempt if the retry budget allows one, and refuses the call otherwise.
func (o *systemPolicy) retryOrRefuse(
	w *simulation, in *instance, t *admitter.Ticket, c *call, tried []*balancer.Target,
) {
	a := retrier.Attempt{Ending: retrier.Unrun, Replayable: true, Tries: c.tries}
	if in.budget.AllowRetry(a) {
		w.result.Retries++
		o.attempt(w, in, t, c, tried)
		return
	}
	w.refused(c)
	o.finish(w, in, t)
}

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

// naive sends requests in turn to all targets, which queue them, and sends them again after a timeout.
type naive struct {
	next int
}

const (
	naiveTimeout = time.Second
	naiveTries   = 3
)

func newNaive(*world) policy { return &naive{} }

func (n *naive) tick(*world) {}

func (n *naive) arrive(w *world, c *call) {
	if c.ended {
		return
	}
	c.tries++
	h := w.hosts[n.next%len(w.hosts)]
	n.next++
	w.after(wire, func() { n.enqueue(w, h, c) })
	if c.class == cataloguer.Upload {
		return
	}
	w.after(naiveTimeout, func() {
		if c.ended {
			return
		}
		if c.tries >= naiveTries || c.class == cataloguer.Once {
			w.failed(c)
			return
		}
		w.result.Retries++
		n.arrive(w, c)
	})
}

// enqueue works on a request when its turn comes, also when its caller has gone: the target can't know.
func (n *naive) enqueue(w *world, h *host, c *call) {
	if h.lost {
		return
	}
	run := func() { w.begin(h, c, func() { w.answered(c) }) }
	if h.busy < int(w.Slots) {
		run()
		return
	}
	h.queue = append(h.queue, run)
}

// ours is one instance of the decision packages for each entry instance.
type ours struct {
	instances []*instance
}

type instance struct {
	name     string
	queue    admitter.Admitter
	limit    tuner.Tuner
	budget   *retrier.Budget
	balancer balancer.Balancer
	pool     *balancer.Pool
	// outstanding are this instance's own slots at each target.
	own   map[*balancer.Target]*host
	calls map[*admitter.Ticket]*call
}

func newOurs(w *world) policy {
	o := &ours{}
	for i := range w.Entries {
		in := &instance{
			name:   strconv.Itoa(int(i)),
			budget: retrier.New(),
			own:    map[*balancer.Target]*host{},
			calls:  map[*admitter.Ticket]*call{},
		}
		in.balancer.Random = w.random.Uint64
		in.refresh(w)
		o.instances = append(o.instances, in)
	}
	return o
}

// refresh takes the targets that have not said that they leave; each instance counts its own requests.
func (in *instance) refresh(w *world) {
	tier := balancer.Tier{Region: "r"}
	var known []partitioner.Target
	for i, h := range w.hosts {
		u := in.view(h)
		if h.leaving || h.silent(w.now) {
			continue
		}
		known = append(known, partitioner.Target{Name: strconv.Itoa(i), Region: "r", Slots: int32(w.Slots)})
		tier.Targets = append(tier.Targets, u)
	}
	for i, n := range partitioner.Partition(in.name, partitioner.NewMembers(w.partners()), known) {
		tier.Targets[i].SetOwn(n)
	}
	in.pool = &balancer.Pool{Tiers: []balancer.Tier{tier}}
	own := in.pool.Own(w.now)
	in.limit.SetBounds(own, own+in.pool.Borrowable(w.now)/int(w.Entries))
}

// partners lists the entry instances.
func (w *world) partners() []partitioner.Instance {
	var out []partitioner.Instance
	for i := range w.Entries {
		out = append(out, partitioner.Instance{Name: strconv.Itoa(int(i)), Region: "r"})
	}
	return out
}

func (in *instance) view(h *host) *balancer.Target {
	for u, o := range in.own {
		if o == h {
			return u
		}
	}
	u := &balancer.Target{Region: "r", Slots: h.Slots}
	in.own[u] = h
	return u
}

func (o *ours) tick(w *world) {
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

// report passes the targets' loads on, once a second and late.
func (in *instance) report(w *world) {
	if w.Reports == 0 || w.now.UnixMilli()%1000 != 0 {
		return
	}
	for u, h := range in.own {
		u.SetReport(balancer.Report{Load: int32(h.busy), At: w.now.Add(-w.Reports)})
	}
}

func (o *ours) arrive(w *world, c *call) {
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

func (in *instance) resize(w *world, o *ours) {
	if in.limit.Limit() != in.queue.Capacity() {
		o.admit(w, in, in.queue.SetCapacity(w.now, in.limit.Limit()))
	}
}

func (o *ours) admit(w *world, in *instance, tickets []*admitter.Ticket) {
	for _, t := range tickets {
		c := in.calls[t]
		delete(in.calls, t)
		o.start(w, in, t, c)
	}
}

func (o *ours) finish(w *world, in *instance, t *admitter.Ticket) {
	o.admit(w, in, in.queue.Done(w.now, t))
	in.resize(w, o)
}

// start finds a slot and sends, or gives up.
func (o *ours) start(w *world, in *instance, t *admitter.Ticket, c *call) {
	o.try(w, in, t, c, nil)
}

func (o *ours) try(w *world, in *instance, t *admitter.Ticket, c *call, tried []*balancer.Target) {
	if !c.deadline.IsZero() && !w.now.Before(c.deadline) {
		w.refused(c)
		o.finish(w, in, t)
		return
	}
	u := in.balancer.Choose(w.now, in.pool, "r", tried)
	if u == nil {
		w.after(settle, func() { o.try(w, in, t, c, nil) })
		return
	}
	c.tries++
	h := in.own[u]
	w.after(wire, func() {
		switch {
		case h.lost:
			u.Release()
			u.Fail(w.now)
			o.again(w, in, t, c, append(tried, u))
		case h.busy >= int(w.Slots):
			w.result.Shed++
			u.Release()
			in.limit.RecordShed(w.now)
			o.again(w, in, t, c, append(tried, u))
		default:
			o.run(w, in, t, c, u)
		}
	})
}

const settle = 2 * time.Millisecond

func (o *ours) run(w *world, in *instance, t *admitter.Ticket, c *call, u *balancer.Target) {
	w.begin(in.own[u], c, func() {
		u.Release()
		u.Succeed()
		in.budget.RecordSuccess()
		in.limit.RecordSuccess(in.queue.Running() >= in.queue.Capacity())
		w.answered(c)
		o.finish(w, in, t)
	})
}

func (o *ours) again(w *world, in *instance, t *admitter.Ticket, c *call, tried []*balancer.Target) {
	a := retrier.Attempt{Ending: retrier.Unrun, Replayable: true, Tries: c.tries}
	if in.budget.AllowRetry(a) {
		w.result.Retries++
		o.try(w, in, t, c, tried)
		return
	}
	w.refused(c)
	o.finish(w, in, t)
}

package soaker

import (
	"slices"
	"sync"
	"time"
)

// disturbances are the times of faults, by the name of what they disturb: entry instances and controllers by their address,
// targets by their ID.
type disturbances struct {
	mu    sync.Mutex
	spans map[string][]*span
}

// span is the time from the begin to the end of a disturbance. The end is zero while it lasts.
type span struct {
	from, to time.Time
}

// record records a disturbance that ends at once.
func (d *disturbances) record(name string) { d.begin(name)() }

// begin records a disturbance that lasts until the function that it returns is called.
func (d *disturbances) begin(name string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spans == nil {
		d.spans = map[string][]*span{}
	}
	begun := &span{from: time.Now()}
	d.spans[name] = append(d.spans[name], begun)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		begun.to = time.Now()
	}
}

// add records a disturbance that has ended.
func (d *disturbances) add(name string, from, to time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spans == nil {
		d.spans = map[string][]*span{}
	}
	d.spans[name] = append(d.spans[name], &span{from, to})
}

// last returns when the last of the disturbances began that began between two times, and whether there is one.
func (d *disturbances) last(name string, from, to time.Time) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out time.Time
	for _, s := range d.spans[name] {
		if !s.from.Before(from) && !s.from.After(to) && s.from.After(out) {
			out = s.from
		}
	}
	return out, !out.IsZero()
}

// between reports whether there was a disturbance at some moment between two times.
func (d *disturbances) between(name string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans[name] {
		if !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
			return true
		}
	}
	return false
}

// began reports whether a disturbance began between two times.
func (d *disturbances) began(name string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.spans[name], func(s *span) bool { return !s.from.Before(from) && !s.from.After(to) })
}

package consenter

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

const (
	// leaseMarginDivisor is the divisor for the part of a lease that is added for clocks that run at different rates:
	// 1/50.
	leaseMarginDivisor = 50
	// lostRetention is how long an entry instance whose lease has ended is still shown to operators.
	lostRetention = time.Hour
)

// roster is the leader's list of entry instances.
type roster struct {
	// group is the id of the controllers' group as last saved to disk.
	group     uint64
	version   uint64
	instances map[string]*rosterEntry
}

// rosterEntry is an entry instance and its lease.
type rosterEntry struct {
	instance *wire.Node
	// leaseEnd is the end of the lease; after it, the instance refuses work by itself.
	leaseEnd time.Time
	lost     bool
}

// reset clears the list for a new leader. Its versions start at the current time in nanoseconds, so that they do not
// repeat those that a former leader used recently.
func (r *roster) reset(now time.Time) {
	r.version = uint64(now.UnixNano())
	r.instances = map[string]*rosterEntry{}
}

// renewLease records a renewal of an instance's lease. An incarnation that was leaving stays so.
func (r *roster) renewLease(now, leaseEnd time.Time, n *wire.Node) {
	if r.instances == nil {
		r.instances = map[string]*rosterEntry{}
	}
	m, ok := r.instances[n.GetName()]
	if ok && m.instance.GetIncarnation() == n.GetIncarnation() && m.instance.GetLeaving() {
		n.Leaving = true
	}
	if !ok || m.lost || !unchanged(m.instance, n) {
		r.version++
	}
	r.instances[n.GetName()] = &rosterEntry{instance: n, leaseEnd: leaseEnd}
	r.expire(now)
}

// unchanged reports whether two states are equal except for the fields that change with every renewal.
func unchanged(a, b *wire.Node) bool {
	c := proto.CloneOf(a)
	c.Number = b.GetNumber()
	c.Spare = b.GetSpare()
	return proto.Equal(c, b)
}

func (r *roster) expire(now time.Time) {
	for name, m := range r.instances {
		if now.Before(m.leaseEnd) {
			continue
		}
		if !m.lost {
			m.lost = true
			r.version++
		}
		if now.Sub(m.leaseEnd) > lostRetention {
			delete(r.instances, name)
		}
	}
}

// live returns the instances whose lease has not ended.
func (r *roster) live(now time.Time) []*wire.Node {
	var out []*wire.Node
	for _, n := range r.all(now) {
		if !n.GetLost() {
			out = append(out, n)
		}
	}
	return out
}

// all returns every instance in the list, with those whose lease has ended marked lost.
func (r *roster) all(now time.Time) []*wire.Node {
	r.expire(now)
	out := make([]*wire.Node, 0, len(r.instances))
	for _, m := range r.instances {
		n := proto.CloneOf(m.instance)
		n.Lost = m.lost
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetName() < out[j].GetName() })
	return out
}

func (r *roster) count(now time.Time) int {
	live := 0
	for _, m := range r.instances {
		if now.Before(m.leaseEnd) {
			live++
		}
	}
	return live
}

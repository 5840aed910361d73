package consenter

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

const (
	// leaseMarginParts is added to a lease for clocks that run at different rates: 1/50.
	leaseMarginParts = 50
	// rememberLost is how long a silent entry instance is still shown to operators.
	rememberLost = time.Hour
)

// roster is the leader's list of entry instances.
type roster struct {
	group   uint64
	version uint64
	nodes   map[string]*member
}

type member struct {
	node *wire.Node
	// until ends the member's lease: after it the instance refuses work by itself.
	until time.Time
	lost  bool
}

// reset starts a new leader's list under versions that no former leader used lately.
func (r *roster) reset(now time.Time) {
	r.version = uint64(now.UnixNano())
	r.nodes = map[string]*member{}
}

func (r *roster) note(now, until time.Time, n *wire.Node) {
	if r.nodes == nil {
		r.nodes = map[string]*member{}
	}
	m, ok := r.nodes[n.GetName()]
	if ok && m.node.GetIncarnation() == n.GetIncarnation() && m.node.GetLeaving() {
		n.Leaving = true
	}
	if !ok || m.lost || !alike(m.node, n) {
		r.version++
	}
	r.nodes[n.GetName()] = &member{node: n, until: until}
	r.expire(now)
}

// alike ignores what changes with every renewal.
func alike(a, b *wire.Node) bool {
	c := proto.CloneOf(a)
	c.Number = b.GetNumber()
	c.Spare = b.GetSpare()
	return proto.Equal(c, b)
}

func (r *roster) expire(now time.Time) {
	for name, m := range r.nodes {
		if now.Before(m.until) {
			continue
		}
		if !m.lost {
			m.lost = true
			r.version++
		}
		if now.Sub(m.until) > rememberLost {
			delete(r.nodes, name)
		}
	}
}

// live returns the members whose lease goes on.
func (r *roster) live(now time.Time) []*wire.Node {
	var out []*wire.Node
	for _, n := range r.all(now) {
		if !n.GetLost() {
			out = append(out, n)
		}
	}
	return out
}

// all returns every remembered member, lost ones marked.
func (r *roster) all(now time.Time) []*wire.Node {
	r.expire(now)
	out := make([]*wire.Node, 0, len(r.nodes))
	for _, m := range r.nodes {
		n := proto.CloneOf(m.node)
		n.Lost = m.lost
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetName() < out[j].GetName() })
	return out
}

func (r *roster) count(now time.Time) int {
	live := 0
	for _, m := range r.nodes {
		if now.Before(m.until) {
			live++
		}
	}
	return live
}

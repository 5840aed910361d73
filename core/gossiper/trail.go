package gossiper

import "sort"

// trail lists what changed, oldest change first. It answers the picture of many targets of which few change: what a
// watcher lacks is found without a walk over all that it knows already, which a controller would do some hundred times a
// second.
type trail struct {
	steps []step
}

// step says that a name changed at a count. It is out of date when the name has changed again.
type step struct {
	counter uint64
	name    string
}

// minSteps is how many steps are kept at least before those that are out of date are sorted out.
const minSteps = 64

// add notes a change. Last tells the count at which a name changed last, zero if it is forgotten.
func (t *trail) add(counter uint64, name string, last func(name string) uint64) {
	if len(t.steps) == cap(t.steps) && len(t.steps) >= minSteps {
		t.compact(last)
	}
	t.steps = append(t.steps, step{counter, name})
}

func (t *trail) compact(last func(name string) uint64) {
	live := 0
	for _, s := range t.steps {
		if last(s.name) == s.counter {
			t.steps[live] = s
			live++
		}
	}
	t.steps = append(make([]step, 0, max(minSteps, 2*live)), t.steps[:live]...)
}

// since returns the names whose last change came after a count, in the order of those changes.
func (t *trail) since(counter uint64, last func(name string) uint64) []string {
	at := sort.Search(len(t.steps), func(i int) bool { return t.steps[i].counter > counter })
	var out []string
	for _, s := range t.steps[at:] {
		if last(s.name) == s.counter {
			out = append(out, s.name)
		}
	}
	return out
}

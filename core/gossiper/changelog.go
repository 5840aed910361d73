package gossiper

import "sort"

// changeLog lists what changed, oldest change first. It answers the picture of many targets of which few change: what a
// watcher lacks is found without a walk over all that it knows already, which a controller would do some hundred times a
// second.
type changeLog struct {
	entries []changeEntry
}

// changeEntry says that a name changed at a count. It is out of date when the name has changed again.
type changeEntry struct {
	counter uint64
	name    string
}

// minEntries is how many steps are kept at least before those that are out of date are sorted out.
const minEntries = 64

// add notes a change. Last tells the count at which a name changed last, zero if it is forgotten.
func (t *changeLog) add(counter uint64, name string, lastChange func(name string) uint64) {
	if len(t.entries) == cap(t.entries) && len(t.entries) >= minEntries {
		t.compact(lastChange)
	}
	t.entries = append(t.entries, changeEntry{counter, name})
}

func (t *changeLog) compact(lastChange func(name string) uint64) {
	live := 0
	for _, s := range t.entries {
		if lastChange(s.name) == s.counter {
			t.entries[live] = s
			live++
		}
	}
	t.entries = append(make([]changeEntry, 0, max(minEntries, 2*live)), t.entries[:live]...)
}

// since returns the names whose last change came after a count, in the order of those changes.
func (t *changeLog) since(counter uint64, lastChange func(name string) uint64) []string {
	at := sort.Search(len(t.entries), func(i int) bool { return t.entries[i].counter > counter })
	var out []string
	for _, s := range t.entries[at:] {
		if lastChange(s.name) == s.counter {
			out = append(out, s.name)
		}
	}
	return out
}

package gossiper

import "sort"

// changeLog lists changes, oldest first. It finds the changes that a watcher lacks without a scan of all names, most of
// which have not changed; a controller would make that scan some hundred times a second.
type changeLog struct {
	entries []changeEntry
}

// changeEntry records the counter at which a name changed. It is obsolete once the name has changed again.
type changeEntry struct {
	counter uint64
	name    string
}

// minEntries is the number of entries below which obsolete ones are not removed.
const minEntries = 64

// add appends a change. lastChange returns the counter at which a name last changed, or 0 if the name is no longer
// tracked.
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

// since returns the names whose last change came after a counter, in the order of those changes.
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

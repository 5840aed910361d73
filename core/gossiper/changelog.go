package gossiper

import (
	"math"
	"sort"
)

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
	return t.part(counter, math.MaxUint64, 0, lastChange).names
}

// part is some of the names that changed after a counter, in the order of their last changes.
type part struct {
	names []string
	// reached is the counter up to which the names are complete; left is set if others follow.
	reached uint64
	left    bool
}

// part returns the names whose last change came after a counter and not after upTo: at most limit of them, if limit is
// not zero.
func (t *changeLog) part(counter, upTo uint64, limit int, lastChange func(name string) uint64) part {
	out := part{reached: upTo}
	at := sort.Search(len(t.entries), func(i int) bool { return t.entries[i].counter > counter })
	for _, s := range t.entries[at:] {
		if s.counter > upTo {
			break
		}
		if lastChange(s.name) != s.counter {
			continue
		}
		if limit > 0 && len(out.names) == limit {
			out.reached, out.left = lastChange(out.names[limit-1]), true
			break
		}
		out.names = append(out.names, s.name)
	}
	return out
}

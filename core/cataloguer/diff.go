package cataloguer

import (
	"fmt"
	"sort"

	"chervilrail.example/core/parser"
)

// Edit is one difference between two catalogues.
type Edit struct {
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

// String shows the difference as one line.
func (e Edit) String() string {
	switch {
	case e.Old == "":
		return fmt.Sprintf("+ [%s] %s = %s", e.Section, e.Key, e.New)
	case e.New == "":
		return fmt.Sprintf("- [%s] %s = %s", e.Section, e.Key, e.Old)
	}
	return fmt.Sprintf("~ [%s] %s = %s -> %s", e.Section, e.Key, e.Old, e.New)
}

// Diff lists what a new catalogue changes; comments and order do not count.
func Diff(before, after []byte) []Edit {
	old, now := flat(before), flat(after)
	var out []Edit
	for place, value := range now {
		if old[place] != value {
			out = append(out, Edit{place.section, place.key, old[place], value})
		}
	}
	for place, value := range old {
		if _, ok := now[place]; !ok {
			out = append(out, Edit{place.section, place.key, value, ""})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Section != out[j].Section {
			return out[i].Section < out[j].Section
		}
		return out[i].Key < out[j].Key
	})
	return out
}

type keyPlace struct {
	section string
	key     string
}

func flat(data []byte) map[keyPlace]string {
	out := map[keyPlace]string{}
	for _, s := range parser.Parse("catalogue", data).Sections {
		for key, value := range s.Values() {
			out[keyPlace{s.Title(), key}] = value
		}
	}
	return out
}

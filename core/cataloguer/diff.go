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

// String formats the difference as one line.
func (e Edit) String() string {
	switch {
	case e.Old == "":
		return fmt.Sprintf("+ [%s] %s = %s", e.Section, e.Key, e.New)
	case e.New == "":
		return fmt.Sprintf("- [%s] %s = %s", e.Section, e.Key, e.Old)
	}
	return fmt.Sprintf("~ [%s] %s = %s -> %s", e.Section, e.Key, e.Old, e.New)
}

// Diff lists the settings that differ between two catalogues, sorted by section and key. Comments and order are
// ignored.
func Diff(before, after []byte) []Edit {
	old, updated := settings(before), settings(after)
	var out []Edit
	for setting, value := range updated {
		if old[setting] != value {
			out = append(out, Edit{setting.section, setting.key, old[setting], value})
		}
	}
	for setting, value := range old {
		if _, ok := updated[setting]; !ok {
			out = append(out, Edit{setting.section, setting.key, value, ""})
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

type settingKey struct {
	section string
	key     string
}

// settings returns the values of a catalogue by section title and key.
func settings(data []byte) map[settingKey]string {
	out := map[settingKey]string{}
	for _, s := range parser.Parse("catalogue", data).Sections {
		for key, value := range s.Values() {
			out[settingKey{s.Title(), key}] = value
		}
	}
	return out
}

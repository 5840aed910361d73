package parser

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one error in a document. Line is 0, and Section and Key are empty, where they are not known.
type Fault struct {
	Source   string
	Line     int
	Section  string
	Key      string
	Expected string
	Got      string
}

// String formats the fault as one line that starts with its position.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.Source)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, ": [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	fmt.Fprintf(&b, ": expected %s, got %s", f.Expected, f.Got)
	return b.String()
}

// FaultsError holds all faults of a document.
type FaultsError struct {
	Faults []Fault
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

func sortFaults(faults []Fault) {
	sort.SliceStable(faults, func(i, j int) bool {
		if faults[i].Line != faults[j].Line {
			return faults[i].Line < faults[j].Line
		}
		return faults[i].String() < faults[j].String()
	})
}

package experimenter

import (
	"fmt"
	"io"
	"time"

	"chervilrail.example/core/cataloguer"
)

// Report simulates a scenario with the naive policy and with the policy of this system, and writes the results as
// tables in Markdown.
func Report(out io.Writer, s *Scenario) {
	fmt.Fprintf(out, "\n### %s\n\n", s.Name)
	fmt.Fprintf(out, "%d entry instances, %d targets of %d slots, %s of work, capacity %.0f/s, seed %d\n\n",
		s.Entries, s.Targets, s.Slots, s.Service, s.capacity(), s.Seed)
	fmt.Fprintln(out, "| policy | class | calls | answered | refused | failed | p50 | p99 | p99.9 |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|")
	before, after := Run(s, newNaive), Run(s, newSystemPolicy)
	before.rows(out, "naive")
	after.rows(out, "ours")
	fmt.Fprintln(out, "\n| policy | phase | load | offered/s | answered/s | slot time in answers |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for i, p := range s.Phases {
		before.phaseRow(out, "naive", s, p, i)
		after.phaseRow(out, "ours", s, p, i)
	}
	fmt.Fprintf(out, "\nretries per call: naive %.3f, ours %.3f; work outside slots: naive %d, ours %d; shed by targets: ours %d\n",
		before.retries(), after.retries(), before.Overcommitted, after.Overcommitted, after.Shed)
}

func (r *Result) phaseRow(out io.Writer, name string, s *Scenario, p Phase, i int) {
	fmt.Fprintf(out, "| %s | %s | %d%% | %.0f | %.0f | %.0f%% |\n", name, p.Name, p.Load, r.Offered[i], r.Goodput[i],
		r.utilisation(s, i))
}

func (r *Result) retries() float64 {
	calls := 0
	for _, c := range r.Classes {
		calls += c.Calls
	}
	return float64(r.Retries) / float64(max(1, calls))
}

func (r *Result) rows(out io.Writer, name string) {
	for _, c := range cataloguer.Classes() {
		k := r.Classes[c]
		at := func(q float64) time.Duration {
			return (time.Duration(k.Times.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
		}
		fmt.Fprintf(out, "| %s | %s | %d | %d | %d | %d | %s | %s | %s |\n", name, c, k.Calls, k.Answered, k.Refused,
			k.Failed, at(50), at(99), at(99.9))
	}
}

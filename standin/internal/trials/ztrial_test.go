package trials

import (
	"testing"
	"time"
)

func TestTrialCost(t *testing.T) {
	for _, g := range []graceCase{
		{"grace 6 limit 5.7 work 0.3", 6 * time.Second, 0.05, 0.95},
		{"grace 6 limit 4 work 0.5", 6 * time.Second, 0.08, 0.667},
		{"grace 10 limit 4 work 0.5", 10 * time.Second, 0.05, 0.4},
	} {
		t.Run(g.name, func(t *testing.T) {
			f := startWorkers(t, g)
			callers, stoppedAt := f.stopUnderPersistentCallers(t, g)
			runs := map[string]int{}
			for _, x := range f.targets {
				for k, v := range x.Runs() {
					runs[k] = v
				}
			}
			var ok, refused, other [12]int
			for _, c := range callers {
				for _, a := range c.attempts {
					d := a.sentAt.Sub(stoppedAt)
					if d < 0 {
						continue
					}
					i := min(11, int(d/(500*time.Millisecond)))
					switch {
					case a.status == 200:
						ok[i]++
					case a.status == 503:
						refused[i]++
					default:
						other[i]++
						t.Log(a.id, d, a.took, a.status, a.err, "runs", runs[a.id])
					}
				}
			}
			t.Log("per 0.5 s after SIGTERM: ok", ok, "refused", refused, "other", other)
		})
	}
}

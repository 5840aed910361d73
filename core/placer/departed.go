package placer

import (
	"maps"
	"time"
)

const (
	// departedRetention is how long a target that left the control state is remembered at least as far as needed; it may
	// come back under the same incarnation when its announcements are heard again or its zone is used again.
	departedRetention = time.Hour
	// maxDeparted bounds the targets remembered.
	maxDeparted = 4096
)

// departed holds targets that left the control state while something held that they had said in their answers. Without
// it, a target that comes back would get requests that it does not want. The zero value is ready.
type departed struct {
	byName map[string]departedTarget
}

type departedTarget struct {
	*Target
	at time.Time
}

// take returns the state of a target that comes back, or that of a new one.
func (d *departed) take(s Spec) *Target {
	t, ok := d.byName[s.Name]
	if !ok || t.Incarnation > s.Incarnation {
		return newTarget()
	}
	delete(d.byName, s.Name)
	if t.Incarnation != s.Incarnation {
		return newTarget()
	}
	return t.Target
}

// add remembers those targets of which something that they said still holds, and drops what is too old.
func (d *departed) add(now time.Time, targets map[string]*Target) {
	maps.DeleteFunc(d.byName, func(_ string, t departedTarget) bool {
		return !t.binds(now) || now.Sub(t.at) > departedRetention
	})
	for name, t := range targets {
		if !t.binds(now) || len(d.byName) >= maxDeparted {
			continue
		}
		if d.byName == nil {
			d.byName = map[string]departedTarget{}
		}
		d.byName[name] = departedTarget{t, now}
	}
}

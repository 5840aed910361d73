package soaker

import (
	"context"
	"time"
)

const (
	// machine is the name under which stalls of the machine are recorded.
	machine = "machine"
	// A stall is a pause of stallInterval that took longer by more than stallLimit.
	stallInterval = 20 * time.Millisecond
	stallLimit    = 150 * time.Millisecond
)

// watchMachine records until ctx is done when the machine was too busy to run this process.
func (s *Soak) watchMachine(ctx context.Context) {
	for ctx.Err() == nil {
		from := time.Now()
		time.Sleep(stallInterval)
		if to := time.Now(); to.Sub(from) > stallInterval+stallLimit {
			s.stalls.add(machine, from, to)
		}
	}
}

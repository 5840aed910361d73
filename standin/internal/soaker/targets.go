package soaker

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// targetTimeout is how long after the recovery a target that announces itself may get no request: longer than any
// statement of its own, and than one that a heartbeat of another writer may have displaced needs.
const targetTimeout = 15 * time.Second

// awaitTargets sends requests for new objects until each target that is neither killed nor leaving has got one, and records
// a violation for those that get none.
func (s *Soak) awaitTargets(ctx context.Context) {
	began := time.Now()
	waiting := s.unusedSince(began)
	for n := 0; len(waiting) > 0 && time.Since(began) < targetTimeout; n++ {
		key := fmt.Sprint("all-", n)
		s.client(2*callers+1+n).Send(ctx, http.MethodGet, "/safe/"+key, key, "")
		waiting = s.unusedSince(began)
	}
	for _, t := range waiting {
		s.checker.fail("target %s announces itself and gets no request within %s", t.ID, targetTimeout)
	}
}

// unusedSince returns the targets that are not retired and have got no request since a time.
func (s *Soak) unusedSince(began time.Time) []*relayedTarget {
	var out []*relayedTarget
	for _, t := range s.allTargets() {
		if t.Service == service && !t.retired && !t.LastRequest().After(began) {
			out = append(out, t)
		}
	}
	return out
}

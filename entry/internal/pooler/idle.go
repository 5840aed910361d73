package pooler

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleTimeout returns how long a connection may stay idle after an answer: at most half of the time-out that the target
// announces, because a request that crosses the target's close can't be retried unless it is idempotent.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(text); found && err == nil {
			return min(maxIdleTime, time.Duration(seconds)*time.Second/2)
		}
	}
	return maxIdleTime
}

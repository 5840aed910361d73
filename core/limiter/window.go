// Package limiter counts use over a sliding second and refuses what would pass a limit.
package limiter

import "time"

const (
	// Span is the window in which use never passes the limit.
	Span = time.Second

	buckets = 20
	width   = Span / buckets
)

// Window counts use. At every instant the use of the last Span is at most the largest limit that Take
// was called with during it: the oldest bucket counts whole until all of it has left the window.
type Window struct {
	// Origin is any time before the first use.
	Origin time.Time

	counts [buckets + 1]int64
	sum    int64
	at     int64
}

// Take counts n units if the window stays within limit.
func (w *Window) Take(now time.Time, limit, n int64) bool {
	w.advance(now)
	if w.sum+n > limit {
		return false
	}
	w.counts[w.at%int64(len(w.counts))] += n
	w.sum += n
	return true
}

// Used returns the use of the last Span.
func (w *Window) Used(now time.Time) int64 {
	w.advance(now)
	return w.sum
}

// Next returns when the window may have more room.
func (w *Window) Next(now time.Time) time.Time {
	return now.Truncate(width).Add(width)
}

func (w *Window) advance(now time.Time) {
	at := int64(now.Sub(w.Origin) / width)
	if at <= w.at {
		return
	}
	steps := min(at-w.at, int64(len(w.counts)))
	for i := int64(1); i <= steps; i++ {
		slot := (w.at + i) % int64(len(w.counts))
		w.sum -= w.counts[slot]
		w.counts[slot] = 0
	}
	w.at = at
	if steps == int64(len(w.counts)) {
		w.sum = 0
		w.counts = [buckets + 1]int64{}
	}
}

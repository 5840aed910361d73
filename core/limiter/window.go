// Package limiter counts use over a sliding window and refuses what would pass a limit.
package limiter

import "time"

const (
	// DefaultWindow is the window in which use never passes the limit, where none is set.
	DefaultWindow = time.Second

	buckets = 50
	width   = DefaultWindow / buckets
)

// Window counts use. At every instant the use of its span is at most the largest limit that Take
// was called with during it: the oldest bucket counts whole until all of it has left the window.
type Window struct {
	// Origin is any time before the first use.
	Origin time.Time
	// Length is the span if it is not Span; set before the first use.
	Length time.Duration

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

// Return takes back n units that were counted at a time and came to no use.
func (w *Window) Return(now, at time.Time, n int64) {
	w.advance(now)
	bucket := w.bucket(at)
	if bucket > w.at || bucket <= w.at-int64(len(w.counts)) {
		return
	}
	slot := bucket % int64(len(w.counts))
	n = min(n, w.counts[slot])
	w.counts[slot] -= n
	w.sum -= n
}

// Used returns the use of the last span.
func (w *Window) Used(now time.Time) int64 {
	w.advance(now)
	return w.sum
}

// NextBucket returns when the window may have more room.
func (w *Window) NextBucket(now time.Time) time.Time {
	return now.Truncate(w.step()).Add(w.step())
}

// OldestExpiry returns when the oldest use leaves the window, now if there is none.
func (w *Window) OldestExpiry(now time.Time) time.Time {
	w.advance(now)
	for i := w.at - int64(len(w.counts)) + 1; w.sum > 0 && i <= w.at; i++ {
		if i >= 0 && w.counts[i%int64(len(w.counts))] > 0 {
			return w.Origin.Add(time.Duration(i+int64(len(w.counts))) * w.step())
		}
	}
	return now
}

func (w *Window) step() time.Duration {
	if w.Length == 0 {
		return width
	}
	return w.Length / buckets
}

func (w *Window) bucket(at time.Time) int64 { return int64(at.Sub(w.Origin) / w.step()) }

func (w *Window) advance(now time.Time) {
	at := w.bucket(now)
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

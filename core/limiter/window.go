// Package limiter counts use over a sliding window and refuses use that would exceed a limit.
package limiter

import "time"

const (
	// DefaultWindow is the length of a Window that sets none.
	DefaultWindow = time.Second

	buckets            = 50
	defaultBucketWidth = DefaultWindow / buckets
)

// Window counts use in a sliding window of buckets. In every window, use is at most the largest limit that Take was
// called with during it: the oldest bucket counts in full until all of it has left the window. It is not safe for
// concurrent use.
type Window struct {
	// Origin is any time before the first use.
	Origin time.Time
	// Length is the length of the window; zero means DefaultWindow. Set it before the first use.
	Length time.Duration

	counts [buckets + 1]int64
	sum    int64
	// current is the index of the newest bucket, counted from Origin.
	current int64
}

// Take counts n units if the use of the window then stays within limit, and reports whether it did.
func (w *Window) Take(now time.Time, limit, n int64) bool {
	w.advance(now)
	if w.sum+n > limit {
		return false
	}
	w.counts[w.current%int64(len(w.counts))] += n
	w.sum += n
	return true
}

// Return subtracts n units that were counted at the given time and not used.
func (w *Window) Return(now, at time.Time, n int64) {
	w.advance(now)
	bucket := w.bucketAt(at)
	if bucket > w.current || bucket <= w.current-int64(len(w.counts)) {
		return
	}
	slot := bucket % int64(len(w.counts))
	n = min(n, w.counts[slot])
	w.counts[slot] -= n
	w.sum -= n
}

// Used returns the use of the last window.
func (w *Window) Used(now time.Time) int64 {
	w.advance(now)
	return w.sum
}

// NextBucket returns the next multiple of the bucket width since the zero time. If Origin is such a multiple too, the
// next bucket starts then, and the window may allow more.
func (w *Window) NextBucket(now time.Time) time.Time {
	return now.Truncate(w.bucketWidth()).Add(w.bucketWidth())
}

// OldestExpiry returns when the oldest use leaves the window; now if there is no use.
func (w *Window) OldestExpiry(now time.Time) time.Time {
	w.advance(now)
	for i := w.current - int64(len(w.counts)) + 1; w.sum > 0 && i <= w.current; i++ {
		if i >= 0 && w.counts[i%int64(len(w.counts))] > 0 {
			return w.Origin.Add(time.Duration(i+int64(len(w.counts))) * w.bucketWidth())
		}
	}
	return now
}

func (w *Window) bucketWidth() time.Duration {
	if w.Length == 0 {
		return defaultBucketWidth
	}
	return w.Length / buckets
}

func (w *Window) bucketAt(at time.Time) int64 { return int64(at.Sub(w.Origin) / w.bucketWidth()) }

// advance moves the window to a time and subtracts the buckets that leave it.
func (w *Window) advance(now time.Time) {
	bucket := w.bucketAt(now)
	if bucket <= w.current {
		return
	}
	steps := min(bucket-w.current, int64(len(w.counts)))
	for i := int64(1); i <= steps; i++ {
		slot := (w.current + i) % int64(len(w.counts))
		w.sum -= w.counts[slot]
		w.counts[slot] = 0
	}
	w.current = bucket
	if steps == int64(len(w.counts)) {
		w.sum = 0
		w.counts = [buckets + 1]int64{}
	}
}

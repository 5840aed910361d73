// Package budgeter bounds the retries that reach a service's targets to a fraction of its requests. It prevents retry
// storms: when targets fail, every instance retries, and the retries overload the targets that still work.
package budgeter

import "time"

const (
	// window is the time over which retries and requests are counted.
	window = 10 * time.Second
	// ratio is how many retries each request allows. All instances together may retry a fifth of the requests; half of
	// that leaves a margin for the difference between what an instance counts and what reaches the targets.
	ratio = 0.1
	// slack is how many retries per window all instances together may send beyond the ratio.
	slack = 24
	// buckets is the number of parts into which the window is divided.
	buckets = 10
)

// Budget counts one service's requests and retries at one entry instance. Its zero value is ready to use. It is not
// safe for concurrent use.
type Budget struct {
	requests [buckets]float64
	retries  [buckets]float64
	current  int64
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.current%buckets]++
}

// Spend counts one retry if the window allows it, and reports whether it did. instances is how many entry instances
// share the slack.
func (b *Budget) Spend(now time.Time, instances int) bool {
	b.advance(now)
	if sum(b.retries)+1 > ratio*sum(b.requests)+slack/float64(max(1, instances)) {
		return false
	}
	b.retries[b.current%buckets]++
	return true
}

// advance moves the window to a time and clears the buckets that leave it.
func (b *Budget) advance(now time.Time) {
	bucket := now.UnixNano() / int64(window/buckets)
	for n := int64(0); b.current < bucket && n < buckets; n++ {
		b.current = max(b.current+1, bucket-buckets+1)
		b.requests[b.current%buckets], b.retries[b.current%buckets] = 0, 0
	}
	b.current = max(b.current, bucket)
}

func sum(list [buckets]float64) float64 {
	out := 0.0
	for _, n := range list {
		out += n
	}
	return out
}

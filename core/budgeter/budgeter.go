// Package budgeter bounds the repeats that reach a service's targets, as a part of the requests for it. It answers
// the retry storm: when targets fail, every instance sends again, and the repeats bring down what still works.
package budgeter

import "time"

const (
	// window is the span over which repeats and requests are counted.
	window = 10 * time.Second
	// ratio is how many repeats are paid by one request. All instances together may repeat a fifth; half of that
	// leaves room for the difference between what an instance counts and what arrives.
	ratio = 0.1
	// slack is how many repeats all instances together have beyond the ratio, in a window.
	slack = 24
	parts = 10
)

// Budget counts one service's requests and repeats at one instance, in tenths of the window. Its zero value is
// ready; it is not safe for concurrent use.
type Budget struct {
	asked   [parts]float64
	spent   [parts]float64
	current int64
}

// RecordRequest notes a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.asked[b.current%parts]++
}

// Spend pays for one repeat where the window allows it; entries is how many instances share the slack.
func (b *Budget) Spend(now time.Time, entries int) bool {
	b.advance(now)
	if sum(b.spent)+1 > ratio*sum(b.asked)+slack/float64(max(1, entries)) {
		return false
	}
	b.spent[b.current%parts]++
	return true
}

func (b *Budget) advance(now time.Time) {
	part := now.UnixNano() / int64(window/parts)
	for n := int64(0); b.current < part && n < parts; n++ {
		b.current = max(b.current+1, part-parts+1)
		b.asked[b.current%parts], b.spent[b.current%parts] = 0, 0
	}
	b.current = max(b.current, part)
}

func sum(list [parts]float64) float64 {
	out := 0.0
	for _, n := range list {
		out += n
	}
	return out
}

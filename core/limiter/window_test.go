package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// burst is the naive limit: it counts by the clock's full seconds, and lets double the limit through
// around the turn of one.
type burst struct {
	second int64
	count  int64
}

func (b *burst) Take(now time.Time, limit, n int64) bool {
	if now.Unix() != b.second {
		b.second, b.count = now.Unix(), 0
	}
	if b.count+n > limit {
		return false
	}
	b.count += n
	return true
}

type taker interface {
	Take(now time.Time, limit, n int64) bool
}

// most returns the largest use in any window of one second.
func most(seed uint64, w taker, limit int64) int64 {
	random := rand.New(rand.NewPCG(seed, 5))
	now := time.Unix(1000, 0)
	var uses []time.Time
	var worst int64
	for range 3000 {
		now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
		for range random.IntN(10) {
			if w.Take(now, limit, 1) {
				uses = append(uses, now)
			}
		}
		for len(uses) > 0 && now.Sub(uses[0]) >= DefaultWindow {
			uses = uses[1:]
		}
		worst = max(worst, int64(len(uses)))
	}
	return worst
}

// Callers come in bursts around the turn of a second. A limit counted by calendar seconds lets nearly
// twice the cap through within one second, and the region is overloaded although every second looks right.
func TestNoSecondPassesTheLimit(t *testing.T) {
	is := is.New(t)
	var naive int64
	for seed := range uint64(50) {
		is.True(most(seed, &Window{Origin: time.Unix(0, 0)}, 40) <= 40)
		naive = max(naive, most(seed, &burst{}, 40))
	}
	is.True(naive > 40)
}

func TestLoweredLimitWaitsForTheWindow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := Window{Origin: now}
	is.True(w.Take(now, 10, 10))
	is.True(!w.Take(now.Add(DefaultWindow/2), 5, 1))
	is.Equal(w.Used(now.Add(DefaultWindow/2)), int64(10))
	is.True(w.Take(now.Add(DefaultWindow+width), 5, 5))
}

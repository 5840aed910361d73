package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fixedWindow is a naive limiter: it counts by calendar seconds and lets up to twice the limit through within one
// second around their boundary.
type fixedWindow struct {
	second int64
	count  int64
}

func (b *fixedWindow) Take(now time.Time, limit, n int64) bool {
	if now.Unix() != b.second {
		b.second, b.count = now.Unix(), 0
	}
	if b.count+n > limit {
		return false
	}
	b.count += n
	return true
}

type limiter interface {
	Take(now time.Time, limit, n int64) bool
}

// maxUse returns the largest use in any window of one second.
func maxUse(seed uint64, w limiter, limit int64) int64 {
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

// Requests arrive in bursts around the boundary of calendar seconds. A limit counted by calendar seconds lets nearly
// twice the cap through within one second, and the region is overloaded although no calendar second exceeds the cap.
func TestWindowNeverExceedsLimit(t *testing.T) {
	is := is.New(t)
	var naive int64
	for seed := range uint64(50) {
		is.True(maxUse(seed, &Window{Origin: time.Unix(0, 0)}, 40) <= 40)
		naive = max(naive, maxUse(seed, &fixedWindow{}, 40))
	}
	is.True(naive > 40)
}

func TestLoweredLimitCountsEarlierUse(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := Window{Origin: now}
	is.True(w.Take(now, 10, 10))
	is.True(!w.Take(now.Add(DefaultWindow/2), 5, 1))
	is.Equal(w.Used(now.Add(DefaultWindow/2)), int64(10))
	is.True(w.Take(now.Add(DefaultWindow+defaultBucketWidth), 5, 5))
}

package quoter

import (
	"math/rand/v2"
	"time"

	"chervilrail.example/core/limiter"
	"chervilrail.example/core/wire"
)

// fixed shares quotas by equal parts that never change, which needs no messages.
type fixed struct {
	used  [][]limiter.Window
	parts []int64
}

func newFixed(now time.Time, tolerance Tolerance, instances int, organisations []*wire.Organisation) *fixed {
	f := &fixed{}
	for _, o := range organisations {
		limit, _ := tolerance.limit(o)
		f.parts = append(f.parts, limit/int64(instances))
	}
	for range instances {
		row := make([]limiter.Window, len(organisations))
		for i := range row {
			row[i] = limiter.Window{Origin: now.Add(-time.Second), Length: tolerance.Window}
		}
		f.used = append(f.used, row)
	}
	return f
}

func (f *fixed) admit(now time.Time, instance, organisation int, done func(decided time.Time, granted bool)) {
	done(now, f.used[instance][organisation].Take(now, f.parts[organisation], 1))
}
func (f *fixed) tick(time.Time) {}
func (f *fixed) bytes() int     { return 0 }

// counted shares quotas by usage reports: every half second, each instance publishes how much it admitted and receives
// the total of all. It admits a request if the known use of the window and what the others may have admitted since fit
// the limit.
type counted struct {
	limits       []int64
	used         [][]limiter.Window
	othersUsed   [][]int64
	updatedAt    []time.Time
	nextUpdate   time.Time
	sent         int
	disconnected func(instance int) bool
}

const publishInterval = 500 * time.Millisecond

func newCounted(now time.Time, tolerance Tolerance, instances int, organisations []*wire.Organisation) *counted {
	c := &counted{nextUpdate: now, updatedAt: make([]time.Time, instances), disconnected: func(int) bool { return false }}
	for _, o := range organisations {
		limit, _ := tolerance.limit(o)
		c.limits = append(c.limits, limit)
	}
	f := newFixed(now, tolerance, instances, organisations)
	c.used = f.used
	for range instances {
		c.othersUsed = append(c.othersUsed, make([]int64, len(organisations)))
	}
	return c
}

func (c *counted) admit(now time.Time, instance, organisation int, done func(decided time.Time, granted bool)) {
	used := &c.used[instance][organisation]
	others := c.othersUsed[instance][organisation]
	// Since the last report the others may have admitted requests at the same rate as in the window before it.
	since := 1 + float64(now.Sub(c.updatedAt[instance]))/float64(5*time.Second)
	done(now, used.Take(now, c.limits[organisation]-int64(float64(others)*since), 1))
}

func (c *counted) tick(now time.Time) {
	if now.Before(c.nextUpdate) {
		return
	}
	c.nextUpdate = now.Add(publishInterval)
	for o := range c.limits {
		all := int64(0)
		for i := range c.used {
			if !c.disconnected(i) {
				all += c.used[i][o].Used(now)
			}
		}
		for i := range c.used {
			if !c.disconnected(i) {
				c.othersUsed[i][o] = all - c.used[i][o].Used(now)
				c.updatedAt[i] = now
				c.sent += 8
			}
		}
	}
}

func (c *counted) bytes() int { return c.sent }

// loadPattern is a load under which the strategies are compared.
type loadPattern struct {
	name   string
	demand func(at time.Duration, organisation int) float64
	route  func(instances int) func(*rand.Rand, time.Duration) int
}

const averageDemand = 1 / 1.6

func uniform(instances int) func(*rand.Rand, time.Duration) int {
	return func(r *rand.Rand, _ time.Duration) int { return r.IntN(instances) }
}

// concentrated sends everything to a sixth of the instances from the sixth second on.
func concentrated(instances int) func(*rand.Rand, time.Duration) int {
	return func(r *rand.Rand, at time.Duration) int {
		if at < 6*time.Second {
			return r.IntN(instances)
		}
		return r.IntN(max(1, instances/6))
	}
}

func loadPatterns() []loadPattern {
	steady := func(time.Duration, int) float64 { return averageDemand }
	burst := func(at time.Duration, _ int) float64 {
		if at > 6*time.Second && at < 9*time.Second {
			return 1.7 * averageDemand
		}
		return averageDemand
	}
	// Every third organisation asks for three times its quota.
	greedy := func(_ time.Duration, organisation int) float64 {
		if organisation%3 == 0 {
			return 3
		}
		return averageDemand
	}
	return []loadPattern{
		{"calm", steady, uniform}, {"burst", burst, uniform}, {"moved", steady, concentrated}, {"greedy", greedy, uniform},
	}
}

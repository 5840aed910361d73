package quoter

import (
	"math/rand/v2"
	"time"

	"chervilrail.example/core/limiter"
	"chervilrail.example/core/wire"
)

// fixed shares quotas by equal parts that never change: what needs no message at all.
type fixed struct {
	used  [][]limiter.Window
	parts []int64
}

func newFixed(now time.Time, terms Tolerance, instances int, organisations []*wire.Organisation) *fixed {
	f := &fixed{}
	for _, o := range organisations {
		limit, _ := terms.limit(o)
		f.parts = append(f.parts, limit/int64(instances))
	}
	for range instances {
		row := make([]limiter.Window, len(organisations))
		for i := range row {
			row[i] = limiter.Window{Origin: now.Add(-time.Second), Length: terms.Window}
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

// counted shares quotas by news: each instance tells what it let through, and hears what all did, half a second later. It
// lets a request through while what is known of the window, and what the others must have let through since, fits.
type counted struct {
	limits  []int64
	used    [][]limiter.Window
	told    [][]int64
	heardAt []time.Time
	nextAt  time.Time
	sent    int
	cut     func(instance int) bool
}

const newsEvery = 500 * time.Millisecond

func newCounted(now time.Time, terms Tolerance, instances int, organisations []*wire.Organisation) *counted {
	c := &counted{nextAt: now, heardAt: make([]time.Time, instances), cut: func(int) bool { return false }}
	for _, o := range organisations {
		limit, _ := terms.limit(o)
		c.limits = append(c.limits, limit)
	}
	f := newFixed(now, terms, instances, organisations)
	c.used = f.used
	for range instances {
		c.told = append(c.told, make([]int64, len(organisations)))
	}
	return c
}

func (c *counted) admit(now time.Time, instance, organisation int, done func(decided time.Time, granted bool)) {
	used := &c.used[instance][organisation]
	others := c.told[instance][organisation]
	// In the time since the news the others may have let through as much as in as long a time before.
	since := 1 + float64(now.Sub(c.heardAt[instance]))/float64(5*time.Second)
	done(now, used.Take(now, c.limits[organisation]-int64(float64(others)*since), 1))
}

func (c *counted) tick(now time.Time) {
	if now.Before(c.nextAt) {
		return
	}
	c.nextAt = now.Add(newsEvery)
	for o := range c.limits {
		all := int64(0)
		for i := range c.used {
			if !c.cut(i) {
				all += c.used[i][o].Used(now)
			}
		}
		for i := range c.used {
			if !c.cut(i) {
				c.told[i][o] = all - c.used[i][o].Used(now)
				c.heardAt[i] = now
				c.sent += 8
			}
		}
	}
}

func (c *counted) bytes() int { return c.sent }

// spot is a load under which ways to share quotas are compared.
type spot struct {
	name   string
	demand func(at time.Duration, organisation int) float64
	where  func(instances int) func(*rand.Rand, time.Duration) int
}

const calm = 1 / 1.6

func anywhere(instances int) func(*rand.Rand, time.Duration) int {
	return func(r *rand.Rand, _ time.Duration) int { return r.IntN(instances) }
}

// moved sends everything to a sixth of the instances from the sixth second on.
func moved(instances int) func(*rand.Rand, time.Duration) int {
	return func(r *rand.Rand, at time.Duration) int {
		if at < 6*time.Second {
			return r.IntN(instances)
		}
		return r.IntN(max(1, instances/6))
	}
}

func spots() []spot {
	steady := func(time.Duration, int) float64 { return calm }
	burst := func(at time.Duration, _ int) float64 {
		if at > 6*time.Second && at < 9*time.Second {
			return 1.7 * calm
		}
		return calm
	}
	// Each third organisation asks for three times its quota.
	greedy := func(_ time.Duration, organisation int) float64 {
		if organisation%3 == 0 {
			return 3
		}
		return calm
	}
	return []spot{
		{"calm", steady, anywhere}, {"burst", burst, anywhere}, {"moved", steady, moved}, {"greedy", greedy, anywhere},
	}
}

package trials

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/platform/speaker"
)

const (
	// limitTime is the time within which a limit that a target names has to hold; requests are counted in windows of
	// limitWindow.
	limitTime   = 4 * time.Second
	limitWindow = 4 * time.Second
)

// maxStartsInWindow returns the most requests that a target got in limitWindow between two times.
func maxStartsInWindow(target *speaker.Target, from, to time.Time) int {
	most, first := 0, 0
	starts := target.Starts()
	for i, s := range starts {
		if s.At.Before(from) || s.At.After(to) {
			first = i + 1
			continue
		}
		for starts[first].At.Before(s.At.Add(-limitWindow)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a target in need that gets from all instances together more than the limit that its answers name, and
// against one that gets no more than that after the limit has ended. Each instance alone may stay below the limit.
func TestLimitOfATargetHoldsOverAllInstances(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 6, 4)
	f.objects = 60
	stop := f.load(12)
	time.Sleep(time.Second)
	limited := f.targets[0]
	limited.SetLimit("1.5")
	named := time.Now()
	time.Sleep(limitTime + 2*limitWindow)
	limited.SetLimit("")
	ended := time.Now()
	time.Sleep(limitTime + limitWindow)
	f.check(t, stop())
	most := maxStartsInWindow(limited, named.Add(limitTime), ended)
	t.Logf("%d requests in %s while the limit held, %d after", most, limitWindow,
		maxStartsInWindow(limited, ended.Add(limitTime), time.Now()))
	is.True(float64(most) <= 1.5*1.5*limitWindow.Seconds()+5)
	is.True(most > 0) // the limit is no ban
	is.True(maxStartsInWindow(limited, ended.Add(limitTime), time.Now()) > 30)
}

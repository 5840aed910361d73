package budgeter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Half of a service's targets fail at once, and every instance retries what failed. In every ten seconds, the retries
// of all instances together must stay below a fifth of the requests plus a fixed allowance, also while requests start
// and end.
func TestRetriesOfAllInstancesStayWithinBudget(t *testing.T) {
	const instances, perTick = 12, 3
	budgets := make([]Budget, instances)
	now := time.Unix(1000, 0)
	var requests, retries []int
	for tick := range 600 {
		tickRequests, tickRetries := 0, 0
		for i := range budgets {
			for range perTick {
				if tick > 100 && tick < 400 {
					budgets[i].RecordRequest(now)
					tickRequests++
				}
				if budgets[i].Spend(now, instances) {
					tickRetries++
				}
			}
		}
		requests, retries = append(requests, tickRequests), append(retries, tickRetries)
		now = now.Add(100 * time.Millisecond)
	}
	is := is.New(t)
	for at := 100; at < len(requests); at++ {
		windowRequests, windowRetries := 0, 0
		for i := at - 100; i < at; i++ {
			windowRequests += requests[i]
			windowRetries += retries[i]
		}
		previous := 0
		for i := max(0, at-200); i < at-100; i++ {
			previous += requests[i]
		}
		is.True(float64(windowRetries) <= 0.2*float64(max(windowRequests, previous))+56)
	}
}

func TestBudgetIsRestoredAfterWindow(t *testing.T) {
	is := is.New(t)
	var b Budget
	now := time.Unix(1000, 0)
	for range slack {
		is.True(b.Spend(now, 1))
	}
	is.True(!b.Spend(now, 1))
	is.True(b.Spend(now.Add(window+time.Second), 1))
}

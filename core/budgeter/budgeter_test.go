package budgeter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Half of a service's targets fail at once, and every instance sends what failed again. All of them together must
// stay under a fifth of the requests and what is allowed beyond, in every ten seconds, also while requests begin and end.
func TestRepeatsOfAllInstancesStayUnderTheirPart(t *testing.T) {
	const instances, perTick = 12, 3
	budgets := make([]Budget, instances)
	now := time.Unix(1000, 0)
	var asked, spent []int
	for tick := range 600 {
		a, s := 0, 0
		for i := range budgets {
			for range perTick {
				if tick > 100 && tick < 400 {
					budgets[i].RecordRequest(now)
					a++
				}
				if budgets[i].Spend(now, instances) {
					s++
				}
			}
		}
		asked, spent = append(asked, a), append(spent, s)
		now = now.Add(100 * time.Millisecond)
	}
	is := is.New(t)
	for at := 100; at < len(asked); at++ {
		a, s := 0, 0
		for i := at - 100; i < at; i++ {
			a += asked[i]
			s += spent[i]
		}
		before := 0
		for i := max(0, at-200); i < at-100; i++ {
			before += asked[i]
		}
		is.True(float64(s) <= 0.2*float64(max(a, before))+56)
	}
}

func TestBudgetForgets(t *testing.T) {
	is := is.New(t)
	var b Budget
	now := time.Unix(1000, 0)
	for range slack {
		is.True(b.Spend(now, 1))
	}
	is.True(!b.Spend(now, 1))
	is.True(b.Spend(now.Add(window+time.Second), 1))
}

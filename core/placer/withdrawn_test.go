package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests at withdrawn targets that nothing follows up: Update must return the withdrawn targets at
// which requests are in flight.
func TestUpdateReturnsWithdrawnTargetsInUse(t *testing.T) {
	cases := map[string]struct {
		change    func(specs []Spec) []Spec
		wantCount int
	}{
		"stays":         {func(specs []Spec) []Spec { return specs }, 0},
		"left":          {func([]Spec) []Spec { return nil }, 1},
		"started again": {func(specs []Spec) []Spec { specs[0].Incarnation++; return specs }, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			specs := []Spec{{Name: "a", Incarnation: 1, Region: "r", Slots: 1, OwnSlots: 1}}
			p := &Placer{Region: "r", Zone: "z"}
			is.Equal(len(p.Update(start.Add(-time.Minute), specs, 1)), 0)
			decision, decided := p.Offer(start, &Ticket{
				SoftDeadline: start.Add(time.Second), Deadline: start.Add(2 * time.Second), WarmTime: time.Millisecond,
				ColdTime: time.Millisecond, Decided: make(chan Decision, 1),
			})
			is.True(decided)
			is.True(decision.Target != nil)
			withdrawn := p.Update(start.Add(time.Millisecond), c.change(specs), 1)
			is.Equal(len(withdrawn), c.wantCount)
			if c.wantCount > 0 {
				is.Equal(withdrawn[0].Name, "a")
			}
			_ = p.Done(start.Add(2*time.Millisecond), decision.Target, Outcome{})
			is.Equal(len(p.Update(start.Add(time.Second), nil, 1)), 0)
		})
	}
}

// Guards against a request that is sent to an address which its target got after the decision: the control state changes
// while the request is under way, outside the lock.
func TestDecisionKeepsTheSpec(t *testing.T) {
	is := is.New(t)
	p := newPlacer(spec("a"))
	decision, decided := p.Offer(start, ticket(0))
	is.True(decided)
	changed := spec("a")
	changed.Zone = "elsewhere"
	p.Update(start, []Spec{changed}, 1)
	is.Equal(decision.Spec, spec("a"))
	is.Equal(decision.Target.Zone, "elsewhere")
}

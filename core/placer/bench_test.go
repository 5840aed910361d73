package placer

import (
	"fmt"
	"testing"
	"time"

	"chervilrail.example/core/messenger"
)

// BenchmarkOffer places a request among as many targets as a large service has, and ends it.
func BenchmarkOffer(b *testing.B) {
	p := &Placer{Region: "r0", Zone: "r0", InterRegionRTT: 70 * time.Millisecond}
	var specs []Spec
	for i := range 384 {
		region := fmt.Sprintf("r%d", i%3)
		specs = append(specs, Spec{Name: fmt.Sprint(i), Region: region, Zone: region, Slots: 6, OwnSlots: 1})
	}
	p.Update(start.Add(-time.Minute), specs, 76)
	now := start
	for i := range b.N {
		now = now.Add(10 * time.Millisecond)
		t := &Ticket{
			Key: fmt.Sprint(i % 300), SoftDeadline: now.Add(time.Second), Deadline: now.Add(3 * time.Second),
			WarmTime: 100 * time.Millisecond, ColdTime: 400 * time.Millisecond, Decided: make(chan Decision, 1),
		}
		if d, decided := p.Offer(now, t); decided && d.Target != nil {
			load := &messenger.Load{Running: 2, Slots: 6}
			p.Done(now, d.Target, Outcome{
				ResponseTime: 100 * time.Millisecond, ExpectedTime: 100 * time.Millisecond, Load: load,
			})
		}
	}
}

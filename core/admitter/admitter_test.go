package admitter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/cataloguer"
)

var start = time.Unix(1000, 0)

func ticket(class cataloguer.Class, organisation string) *Ticket {
	return &Ticket{Class: class, Organisation: organisation, Decided: make(chan Decision, 1)}
}

func newAdmitter(capacity int) *Admitter {
	a := &Admitter{}
	a.SetCapacity(start, capacity)
	a.serviceTime = 10 * time.Millisecond
	return a
}

func assertOffer(t *testing.T, a *Admitter, k *Ticket, admitted, decided bool) {
	t.Helper()
	is := is.New(t)
	d, done := a.Offer(start, k)
	is.Equal(done, decided)
	is.Equal(d.Admitted, admitted)
}

func fill(a *Admitter, class cataloguer.Class, organisation string, n int) []*Ticket {
	var out []*Ticket
	for range n {
		k := ticket(class, organisation)
		a.Offer(start, k)
		out = append(out, k)
	}
	return out
}

// Guards against an urgent request that waits behind less urgent ones which fill the capacity and came earlier.
func TestUrgentIsAdmittedFirst(t *testing.T) {
	is := is.New(t)
	a := newAdmitter(10)
	running := fill(a, cataloguer.Once, "club", 10)
	fill(a, cataloguer.Browse, "club", 5)
	urgent := ticket(cataloguer.Urgent, "club")
	assertOffer(t, a, urgent, false, false)
	next := a.Done(start, running[0])
	is.Equal(len(next), 1)
	is.Equal(next[0], urgent)
}

func TestBrowsingLeavesCapacityFree(t *testing.T) {
	a := newAdmitter(10)
	fill(a, cataloguer.Browse, "club", 9)
	assertOffer(t, a, ticket(cataloguer.Browse, "club"), false, false)
	assertOffer(t, a, ticket(cataloguer.Urgent, "club"), true, true)
}

// Guards against uploads that never run while urgent requests keep coming.
func TestUploadsHaveAMinimumShare(t *testing.T) {
	is := is.New(t)
	a := newAdmitter(10)
	running := fill(a, cataloguer.Urgent, "club", 10)
	uploads := fill(a, cataloguer.Upload, "club", 4)
	fill(a, cataloguer.Urgent, "club", 5)
	first := a.Done(start, running[0])
	is.Equal(first[0], uploads[0])
	second := a.Done(start, running[1])
	is.Equal(second[0], uploads[1])
	third := a.Done(start, running[2])
	is.Equal(third[0].Class, cataloguer.Urgent) // the floor is reached
}

func TestUploadsStayBelowCeiling(t *testing.T) {
	is := is.New(t)
	a := newAdmitter(10)
	fill(a, cataloguer.Upload, "club", 20)
	is.Equal(a.Running(), 5)
	assertOffer(t, a, ticket(cataloguer.Urgent, "club"), true, true)
}

// Guards against one organisation's peak that delays the requests of another: the requests of the peak must wait behind
// each other only.
func TestOrganisationsShareFairly(t *testing.T) {
	is := is.New(t)
	a := newAdmitter(4)
	running := fill(a, cataloguer.Once, "loud", 4)
	fill(a, cataloguer.Once, "loud", 20)
	quiet := fill(a, cataloguer.Once, "quiet", 2)
	is.Equal(a.Done(start, running[0])[0], quiet[0])
	is.Equal(a.Done(start, running[1])[0], quiet[1])
}

func TestRefusalsAreImmediate(t *testing.T) {
	t.Run("queue full", func(t *testing.T) {
		is := is.New(t)
		a := newAdmitter(2)
		fill(a, cataloguer.Browse, "club", 2+minQueue)
		d, done := a.Offer(start, ticket(cataloguer.Browse, "club"))
		is.True(done && !d.Admitted)
		is.True(d.Retry.After(start))
	})
	t.Run("deadline can't be met", func(t *testing.T) {
		is := is.New(t)
		a := newAdmitter(1)
		a.serviceTime = time.Second
		fill(a, cataloguer.Urgent, "club", 1)
		k := ticket(cataloguer.Urgent, "club")
		k.Deadline = start.Add(500 * time.Millisecond)
		d, done := a.Offer(start, k)
		is.True(done && !d.Admitted)
	})
	t.Run("waited too long", func(t *testing.T) {
		is := is.New(t)
		a := newAdmitter(1)
		running := fill(a, cataloguer.Browse, "club", 1)
		fill(a, cataloguer.Browse, "club", 1)
		late := start.Add(maxWait[cataloguer.Browse])
		is.Equal(len(a.Expire(late)), 1)
		is.Equal(len(a.Done(late, running[0])), 0) // a ticket does not run after it was refused
	})
}

func TestCancelFreesCapacity(t *testing.T) {
	is := is.New(t)
	a := newAdmitter(1)
	running := fill(a, cataloguer.Once, "club", 1)
	waiting := fill(a, cataloguer.Once, "club", 2)
	a.Cancel(start, waiting[0])
	is.Equal(a.Cancel(start, running[0])[0], waiting[1])
	is.Equal(len(a.Done(start, running[0])), 0) // ending a ticket twice frees capacity once
	is.Equal(a.Running(), 1)
}

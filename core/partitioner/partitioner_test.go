package partitioner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func setup(instances, targetCount int, slots int32) ([]Instance, []Target) {
	var in []Instance
	for i := range instances {
		in = append(in, Instance{fmt.Sprint("e", i), fmt.Sprint("r", i%3)})
	}
	var targets []Target
	for i := range targetCount {
		targets = append(targets, Target{fmt.Sprint("u", i), fmt.Sprint("r", i%3), slots})
	}
	return in, targets
}

// totals adds up what all instances own at each target.
func totals(in []Instance, targets []Target) []int32 {
	out := make([]int32, len(targets))
	for _, i := range in {
		for u, n := range Partition(i.Name, NewMembers(in), targets) {
			out[u] += n
		}
	}
	return out
}

// Guards against instances that send more requests to some targets than those have slots, while others idle, because
// each chooses without knowledge of the others' choices.
func TestEverySlotHasOneOwner(t *testing.T) {
	for _, c := range []struct{ instances, targetCount int }{{12, 20}, {8, 12}, {3, 30}, {12, 12}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			in, targets := setup(c.instances, c.targetCount, 3)
			for _, n := range totals(in, targets) {
				is.Equal(n, int32(3))
			}
		})
	}
}

func TestSharesAreEven(t *testing.T) {
	is := is.New(t)
	in, targets := setup(12, 21, 3)
	for _, i := range in {
		ownSlots := int32(0)
		for u, n := range Partition(i.Name, NewMembers(in), targets) {
			ownSlots += n
			is.True(n == 0 || targets[u].Region == i.Region) // only in its own region
		}
		is.True(ownSlots == 5 || ownSlots == 6)
	}
}

func TestEveryInstanceHasASlot(t *testing.T) {
	is := is.New(t)
	in, targets := setup(12, 3, 1)
	for _, i := range in {
		ownSlots := int32(0)
		for _, n := range Partition(i.Name, NewMembers(in), targets) {
			ownSlots += n
		}
		is.Equal(ownSlots, int32(1))
	}
}

func TestRegionWithoutInstancesIsShared(t *testing.T) {
	is := is.New(t)
	in, targets := setup(2, 6, 3)
	for _, n := range totals(in, targets) {
		is.Equal(n, int32(3))
	}
	is.Equal(Partition("stranger", NewMembers(in), targets), make([]int32, 6))
}

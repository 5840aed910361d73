package partitioner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func setup(instances, targets int, slots int32) ([]Instance, []Target) {
	var in []Instance
	for i := range instances {
		in = append(in, Instance{fmt.Sprint("e", i), fmt.Sprint("r", i%3)})
	}
	var up []Target
	for i := range targets {
		up = append(up, Target{fmt.Sprint("u", i), fmt.Sprint("r", i%3), slots})
	}
	return in, up
}

// totals adds up what all instances own at each target.
func totals(in []Instance, up []Target) []int32 {
	out := make([]int32, len(up))
	for _, i := range in {
		for u, n := range Partition(i.Name, NewMembers(in), up) {
			out[u] += n
		}
	}
	return out
}

// Guards against instances that send more requests to some targets than those have slots, while others idle, because
// each chooses without knowledge of the others' choices.
func TestEverySlotHasOneOwner(t *testing.T) {
	for _, c := range []struct{ instances, targets int }{{12, 20}, {8, 12}, {3, 30}, {12, 12}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			in, up := setup(c.instances, c.targets, 3)
			for _, n := range totals(in, up) {
				is.Equal(n, int32(3))
			}
		})
	}
}

func TestSharesAreEven(t *testing.T) {
	is := is.New(t)
	in, up := setup(12, 21, 3)
	for _, i := range in {
		own := int32(0)
		for u, n := range Partition(i.Name, NewMembers(in), up) {
			own += n
			is.True(n == 0 || up[u].Region == i.Region) // only in its own region
		}
		is.True(own == 5 || own == 6)
	}
}

func TestEveryInstanceHasASlot(t *testing.T) {
	is := is.New(t)
	in, up := setup(12, 3, 1)
	for _, i := range in {
		own := int32(0)
		for _, n := range Partition(i.Name, NewMembers(in), up) {
			own += n
		}
		is.Equal(own, int32(1))
	}
}

func TestRegionWithoutInstancesIsShared(t *testing.T) {
	is := is.New(t)
	in, up := setup(2, 6, 3)
	for _, n := range totals(in, up) {
		is.Equal(n, int32(3))
	}
	is.Equal(Partition("stranger", NewMembers(in), up), make([]int32, 6))
}

package planner

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// Apply returns the plan that a change makes of the current one, without checking it.
func Apply(current *wire.Plan, c *wire.PlanChange) *wire.Plan {
	if c.GetPatch() == nil {
		out := proto.CloneOf(c.GetPlan())
		if out == nil {
			out = &wire.Plan{}
		}
		out.Version = c.GetVersion()
		return out
	}
	patch := c.GetPatch()
	out := &wire.Plan{
		Version: c.GetVersion(), Limits: current.GetLimits(),
		Keyed: current.GetKeyed() || len(patch.GetOrganisations()) > 0,
	}
	if patch.GetLimits() != nil {
		out.Limits = patch.GetLimits()
	}
	out.Routes = mergeRoutes(current.GetRoutes(), patch.GetRoutes(), patch.GetNoroutes())
	out.Services = mergeServices(current.GetServices(), patch.GetServices(), patch.GetNoservices())
	out.Organisations = mergeOrganisations(
		current.GetOrganisations(), patch.GetOrganisations(), patch.GetNoorganisations())
	return out
}

func mergeRoutes(old, fresh []*wire.Route, dropped []string) []*wire.Route {
	all := slices.Concat(old, fresh)
	var out []*wire.Route
	for _, i := range merge(len(old), len(all), func(i int) string { return all[i].GetName() }, dropped) {
		out = append(out, all[i])
	}
	return out
}

func mergeServices(old, fresh []*wire.Service, dropped []string) []*wire.Service {
	all := slices.Concat(old, fresh)
	var out []*wire.Service
	for _, i := range merge(len(old), len(all), func(i int) string { return all[i].GetName() }, dropped) {
		out = append(out, all[i])
	}
	return out
}

func mergeOrganisations(old, fresh []*wire.Organisation, dropped []string) []*wire.Organisation {
	all := slices.Concat(old, fresh)
	var out []*wire.Organisation
	for _, i := range merge(len(old), len(all), func(i int) string { return all[i].GetName() }, dropped) {
		out = append(out, all[i])
	}
	return out
}

// merge puts named items together, the old ones first of all: a fresh item takes the place of the old one of its name, further
// ones come last, and those that are dropped are left out. Of fresh items with one name the last one holds.
func merge(old, all int, name func(int) string, dropped []string) []int {
	gone := map[string]bool{}
	for _, n := range dropped {
		gone[n] = true
	}
	newest := map[string]int{}
	for i := old; i < all; i++ {
		newest[name(i)] = i
	}
	var out []int
	for i := range old {
		at, replaced := newest[name(i)]
		switch {
		case replaced:
			out = append(out, at)
			delete(newest, name(i))
		case !gone[name(i)]:
			out = append(out, i)
		}
	}
	for i := old; i < all; i++ {
		if at, ok := newest[name(i)]; ok && at == i {
			out = append(out, i)
		}
	}
	return out
}

package planner

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// Apply returns the plan that results from applying a change to the current one, without validating it. Neither is
// modified. The current plan may be nil.
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

func mergeRoutes(old, patched []*wire.Route, removed []string) []*wire.Route {
	all := slices.Concat(old, patched)
	var out []*wire.Route
	for _, i := range mergeIndexes(len(old), len(all), func(i int) string { return all[i].GetName() }, removed) {
		out = append(out, all[i])
	}
	return out
}

func mergeServices(old, patched []*wire.Service, removed []string) []*wire.Service {
	all := slices.Concat(old, patched)
	var out []*wire.Service
	for _, i := range mergeIndexes(len(old), len(all), func(i int) string { return all[i].GetName() }, removed) {
		out = append(out, all[i])
	}
	return out
}

func mergeOrganisations(old, patched []*wire.Organisation, removed []string) []*wire.Organisation {
	all := slices.Concat(old, patched)
	var out []*wire.Organisation
	for _, i := range mergeIndexes(len(old), len(all), func(i int) string { return all[i].GetName() }, removed) {
		out = append(out, all[i])
	}
	return out
}

// mergeIndexes merges named items and returns the indexes of the result. The items are numbered from 0 to all-1: those
// below old are the old ones, and the others come from a patch. A patched item replaces the old one of the same name,
// others are appended, and old items that are removed and not patched are omitted. Of patched items with the same name,
// the last one is used.
func mergeIndexes(old, all int, name func(int) string, removed []string) []int {
	isRemoved := map[string]bool{}
	for _, n := range removed {
		isRemoved[n] = true
	}
	patches := map[string]int{}
	for i := old; i < all; i++ {
		patches[name(i)] = i
	}
	var out []int
	for i := range old {
		patch, replaced := patches[name(i)]
		switch {
		case replaced:
			out = append(out, patch)
			delete(patches, name(i))
		case !isRemoved[name(i)]:
			out = append(out, i)
		}
	}
	for i := old; i < all; i++ {
		if patch, ok := patches[name(i)]; ok && patch == i {
			out = append(out, i)
		}
	}
	return out
}

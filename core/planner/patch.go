package planner

import (
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
	out.Routes = mergeRoutes(current.GetRoutes(), patch)
	out.Services = mergeServices(current.GetServices(), patch)
	out.Organisations = mergeOrganisations(current.GetOrganisations(), patch)
	return out
}

func mergeRoutes(old []*wire.Route, patch *wire.Patch) []*wire.Route {
	var out []*wire.Route
	for _, p := range merge(len(old), func(i int) string { return old[i].GetName() },
		len(patch.GetRoutes()), func(i int) string { return patch.GetRoutes()[i].GetName() }, patch.GetNoroutes()) {
		if p.fresh {
			out = append(out, patch.GetRoutes()[p.at])
			continue
		}
		out = append(out, old[p.at])
	}
	return out
}

func mergeServices(old []*wire.Service, patch *wire.Patch) []*wire.Service {
	var out []*wire.Service
	for _, p := range merge(len(old), func(i int) string { return old[i].GetName() },
		len(patch.GetServices()), func(i int) string { return patch.GetServices()[i].GetName() }, patch.GetNoservices()) {
		if p.fresh {
			out = append(out, patch.GetServices()[p.at])
			continue
		}
		out = append(out, old[p.at])
	}
	return out
}

func mergeOrganisations(old []*wire.Organisation, patch *wire.Patch) []*wire.Organisation {
	fresh := patch.GetOrganisations()
	var out []*wire.Organisation
	for _, p := range merge(len(old), func(i int) string { return old[i].GetName() },
		len(fresh), func(i int) string { return fresh[i].GetName() }, patch.GetNoorganisations()) {
		if p.fresh {
			out = append(out, fresh[p.at])
			continue
		}
		out = append(out, old[p.at])
	}
	return out
}

// pick is an item of a merged list: the at-th of the fresh ones, or of the old ones.
type pick struct {
	fresh bool
	at    int
}

// merge puts named items together: a fresh item takes the place of the old one of its name, further ones come last, and
// those that are dropped are left out. Of fresh items with one name the last one holds.
func merge(old int, oldName func(int) string, fresh int, freshName func(int) string, dropped []string) []pick {
	gone := map[string]bool{}
	for _, name := range dropped {
		gone[name] = true
	}
	newest := map[string]int{}
	for i := range fresh {
		newest[freshName(i)] = i
	}
	var out []pick
	for i := range old {
		name := oldName(i)
		if at, ok := newest[name]; ok {
			out = append(out, pick{true, at})
			delete(newest, name)
			continue
		}
		if !gone[name] {
			out = append(out, pick{false, i})
		}
	}
	for i := range fresh {
		if at, ok := newest[freshName(i)]; ok && at == i {
			out = append(out, pick{true, i})
		}
	}
	return out
}

package planner

import (
	"net"
	"sort"
	"strings"

	"chervilrail.example/core/wire"
)

// Table finds the routes, services and organisations of a plan. It is immutable.
type Table struct {
	// Plan is the plan that the table was built from.
	Plan *wire.Plan

	// routesByHost lists the routes of each host, those with the longest prefix first.
	routesByHost map[string][]*wire.Route
	services     map[string]*wire.Service
	keys         keyIndex
}

// NewTable returns a table of a plan that Check has accepted.
func NewTable(p *wire.Plan) *Table {
	t := &Table{
		Plan: p, routesByHost: map[string][]*wire.Route{}, services: map[string]*wire.Service{}, keys: newKeyIndex(p),
	}
	for _, r := range p.GetRoutes() {
		t.routesByHost[r.GetHost()] = append(t.routesByHost[r.GetHost()], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].GetPrefix()) > len(routes[j].GetPrefix())
		})
	}
	for _, s := range p.GetServices() {
		t.services[s.GetName()] = s
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, and whether there is one. A port in host is
// ignored.
func (t *Table) Match(host, path string) (*wire.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.GetPrefix()) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name, and whether there is one.
func (t *Table) Service(name string) (*wire.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

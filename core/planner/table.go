package planner

import (
	"net"
	"sort"
	"strings"

	"chervilrail.example/core/wire"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	// Plan is what the table was built from.
	Plan *wire.Plan

	hosts    map[string][]*wire.Route
	services map[string]*wire.Service
	keys     organisations
}

// NewTable indexes a checked plan.
func NewTable(p *wire.Plan) *Table {
	t := &Table{Plan: p, hosts: map[string][]*wire.Route{}, services: map[string]*wire.Service{}, keys: index(p)}
	for _, r := range p.GetRoutes() {
		t.hosts[r.GetHost()] = append(t.hosts[r.GetHost()], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].GetPrefix()) > len(routes[j].GetPrefix())
		})
	}
	for _, s := range p.GetServices() {
		t.services[s.GetName()] = s
	}
	return t
}

// Match returns the route of the host with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (*wire.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.GetPrefix()) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (t *Table) Service(name string) (*wire.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

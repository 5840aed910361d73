// Package planner validates and patches routing plans, and finds the route, service and organisation of a request in
// them.
package planner

import (
	"math"
	"strconv"
	"strings"
	"time"

	"chervilrail.example/core/wire"
)

// maxAimExcess is how far a route's aim, the time within which a response is on time, has to lie above its timeout for
// the plan to be refused. Operators lower time-outs for a while without changing the aims, so a smaller excess is
// accepted. A minute or more can only result from a wrong unit.
const maxAimExcess = time.Minute

// Check returns a *PlanError if a plan can't be put in force.
func Check(p *wire.Plan) error {
	services, err := checkServices(p.GetServices())
	if err != nil {
		return err
	}
	names := map[string]bool{}
	patterns := map[string]bool{}
	for _, r := range p.GetRoutes() {
		if r.GetName() == "" || names[r.GetName()] {
			return &PlanError{r.GetName(), "name", "a name of its own"}
		}
		names[r.GetName()] = true
		pattern := r.GetHost() + " " + r.GetPrefix()
		if patterns[pattern] {
			return &PlanError{r.GetName(), "prefix", "a host and prefix that no other route has"}
		}
		patterns[pattern] = true
		if err := checkRoute(r, services); err != nil {
			return err
		}
	}
	if err := checkOrganisations(p.GetOrganisations()); err != nil {
		return err
	}
	return checkLimits(p.GetLimits())
}

func checkServices(list []*wire.Service) (map[string]bool, error) {
	names := map[string]bool{}
	for _, s := range list {
		if s.GetName() == "" || names[s.GetName()] {
			return nil, &PlanError{s.GetName(), "name", "a name of its own"}
		}
		names[s.GetName()] = true
		if s.GetConnections() < 0 || s.GetCold() < 0 || !isValidAmount(s.GetRate()) {
			return nil, &PlanError{s.GetName(), "limits", "numbers of 0 or more"}
		}
	}
	return names, nil
}

func isValidAmount(f float64) bool { return f >= 0 && !math.IsInf(f, 0) && !math.IsNaN(f) }

func checkRoute(r *wire.Route, services map[string]bool) error {
	if !strings.HasPrefix(r.GetPrefix(), "/") {
		return &PlanError{r.GetName(), "prefix", "a path that begins with a slash"}
	}
	if r.GetTimeout() < 0 || r.GetAim() < 0 || r.GetAttempts() < 0 {
		return &PlanError{r.GetName(), "times", "numbers of 0 or more"}
	}
	if time.Duration(r.GetAim())-time.Duration(r.GetTimeout()) >= maxAimExcess {
		return &PlanError{r.GetName(), "aim", "less than a minute above the timeout"}
	}
	total := 0.0
	for _, s := range r.GetSplits() {
		if !services[s.GetService()] {
			return &PlanError{r.GetName(), "service", "a service of the plan, not " + strconv.Quote(s.GetService())}
		}
		if !isValidAmount(s.GetWeight()) {
			return &PlanError{r.GetName(), "weight", "a number of 0 or more"}
		}
		total += s.GetWeight()
	}
	if total <= 0 || !isValidAmount(total) {
		return &PlanError{r.GetName(), "weights", "a sum above 0 that is a number"}
	}
	return nil
}

func checkLimits(l *wire.CallerLimits) error {
	if l.GetHeader() < 0 || l.GetBody() < 0 || l.GetPatience() < 0 || l.GetIdle() < 0 {
		return &PlanError{"", "limits", "numbers of 0 or more"}
	}
	return nil
}

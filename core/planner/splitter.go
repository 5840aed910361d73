package planner

import "chervilrail.example/core/wire"

// Splitter spreads the requests of one route over its services by weight. Chance alone would leave shares some
// per cent off their weights in a window of a few hundred requests; the largest debt first stays within one
// request of them. Its zero value is ready; it is not safe for concurrent use.
type Splitter struct {
	debts map[string]float64
}

// Next names the service of the next request.
func (s *Splitter) Next(r *wire.Route) string {
	splits := r.GetSplits()
	if len(splits) == 1 {
		return splits[0].GetService()
	}
	if s.debts == nil {
		s.debts = map[string]float64{}
	}
	total := 0.0
	for _, p := range splits {
		total += p.GetWeight()
	}
	best := ""
	for _, p := range splits {
		s.debts[p.GetService()] += p.GetWeight() / total
		if best == "" || s.debts[p.GetService()] > s.debts[best] {
			best = p.GetService()
		}
	}
	s.debts[best]--
	return best
}

package planner

import "chervilrail.example/core/wire"

// Splitter distributes the requests of one route over its services by weight. With a random choice, shares would
// deviate from the weights by some per cent in a window of a few hundred requests. Choosing the service with the
// largest deficit keeps them within one request. The zero value is ready to use. A Splitter is not safe for concurrent
// use.
type Splitter struct {
	// deficits holds, for each service, its share of the requests so far by weight, less the requests that it received.
	deficits map[string]float64
}

// Next returns the name of the service that gets the next request.
func (s *Splitter) Next(r *wire.Route) string {
	splits := r.GetSplits()
	if len(splits) == 1 {
		return splits[0].GetService()
	}
	if s.deficits == nil {
		s.deficits = map[string]float64{}
	}
	total := 0.0
	for _, p := range splits {
		total += p.GetWeight()
	}
	chosen := ""
	for _, p := range splits {
		s.deficits[p.GetService()] += p.GetWeight() / total
		if chosen == "" || s.deficits[p.GetService()] > s.deficits[chosen] {
			chosen = p.GetService()
		}
	}
	s.deficits[chosen]--
	return chosen
}

package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chervilrail.example/platform/speaker"
)

// The streams of random numbers of a seed for its workload. That of the limits is the first of many.
const (
	graceStream = 100 + iota
	uploadStream
	limitStream = 1 << 20
)

const (
	// workService is the service whose requests take long.
	workService = "workers"
	// limitVersions is the number of versions of the plan after which the limits change.
	limitVersions = 15
	minGrace      = time.Second
	shortGrace    = 3 * time.Second
	mediumGrace   = 10 * time.Second
	maxGrace      = 20 * time.Second
	// fullHabitGrace is the grace period from which on pipelines read as slowly as their habit says. With a shorter one the
	// answers that are due could not be read in it.
	fullHabitGrace = 6 * time.Second
	// maxSize is the largest body in bytes, maxParts the largest number of parts in which one is sent.
	maxSize  = 20_000
	maxParts = 4
)

// workRoute is a route to workService. Its limit lies between two parts of the grace period.
type workRoute struct {
	name, kind string
	from, to   float64
}

var workRoutes = []workRoute{
	{"work0", "unsafe", 0.15, 0.5},
	{"work1", "unsafe", 0.5, 0.95},
	{"work2", "unsafe", 1, 1.6},
	{"work3", "safe", 0.3, 1.2},
}

// workShares are the parts of a limit that requests take: most of them take little, so that an instance that goes by what it
// has seen expects little.
var workShares = []float64{0.02, 0.05, 0.05, 0.1, 0.1, 0.3, 0.6, 0.85, 0.95}

// workload is what a run draws from its seed besides its faults.
type workload struct {
	seed  uint64
	grace time.Duration
	// limits are the first limits of workRoutes.
	limits []time.Duration
}

// drawWorkload draws a workload. A grace period that is not zero takes the place of the one that is drawn.
func drawWorkload(seed uint64, grace time.Duration) workload {
	random := rand.New(rand.NewPCG(seed, graceStream))
	w := workload{seed: seed, grace: drawGrace(random)}
	if grace > 0 {
		w.grace = grace
	}
	for _, r := range workRoutes {
		w.limits = append(w.limits, part(w.grace, between(random, r.from, r.to)))
	}
	return w
}

// drawGrace draws a grace period: about a third is short, and a fifth long.
func drawGrace(random *rand.Rand) time.Duration {
	from, to := minGrace, shortGrace
	switch n := random.IntN(20); {
	case n >= 16:
		from, to = mediumGrace, maxGrace
	case n >= 7:
		from, to = shortGrace, mediumGrace
	}
	return (from + part(to-from, random.Float64())).Round(time.Millisecond)
}

// limit returns the limit of a route in a version of the plan: some versions shorten the first one, others lengthen it.
func (w workload) limit(route, version int) time.Duration {
	span := uint64(version / limitVersions)
	if span == 0 {
		return w.limits[route]
	}
	random := rand.New(rand.NewPCG(w.seed, limitStream+uint64(len(workRoutes))*span+uint64(route)))
	return part(w.limits[route], between(random, 0.5, 1.5))
}

// plan returns a version of the plan.
func (w workload) plan(version int) string {
	var routes []speaker.Route
	for i, r := range workRoutes {
		routes = append(routes, speaker.Route{
			Name: r.name, Kind: r.kind, Service: workService, Timeout: w.limit(i, version),
		})
	}
	return speaker.Plan(version, version-1, service, routes...)
}

// upload draws a request that takes long. Its caller waits for less or for longer than its limit.
func (w workload) upload(random *rand.Rand) speaker.Upload {
	route := random.IntN(len(workRoutes))
	limit := w.limits[route]
	work := part(min(limit, w.grace), workShares[random.IntN(len(workShares))]*between(random, 0.9, 1))
	u := speaker.Upload{
		Path:     fmt.Sprintf("/%s/%d?work=%s", workRoutes[route].name, random.IntN(100), work),
		Deadline: part(limit, between(random, 0.6, 2.5)), Size: 1 + random.IntN(maxSize),
	}
	if random.IntN(3) == 0 {
		u.Parts = 1 + random.IntN(maxParts)
		u.Pause = part(limit, between(random, 0, 0.4)) / time.Duration(u.Parts)
	}
	return u
}

// paced returns a habit with its pauses shortened to what a short grace period leaves.
func (w workload) paced(h speaker.Habit) speaker.Habit {
	if w.grace < fullHabitGrace {
		share := float64(w.grace) / float64(fullHabitGrace)
		h.Pause, h.Rest = part(h.Pause, share), part(h.Rest, share)
	}
	return h
}

// part returns a part of a duration, in whole milliseconds.
func part(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d)).Round(time.Millisecond)
}

func between(random *rand.Rand, from, to float64) float64 { return from + (to-from)*random.Float64() }

// Package observer measures how long the syncs of a controller's disk take. What the disk holds up could otherwise not be
// told from a lack of processor time or a fault of the consensus.
package observer

import (
	"path/filepath"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
)

// slowSync is the time after which a sync is logged. Two lines a sync bound the lines of each file to eight a second.
const slowSync = 250 * time.Millisecond

// Observer implements storer.Observer. Set the exported fields before use.
type Observer struct {
	Logger log.Logger
	// Durations receives how long each sync took, in seconds.
	Durations prometheus.Observer
}

// NewDurations registers the histogram of the durations of syncs.
func NewDurations(r prometheus.Registerer) prometheus.Observer {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "chervilrail", Subsystem: "controller", Name: "sync_seconds",
		Help:    "How long syncs of the disk took.",
		Buckets: []float64{.001, .005, .025, .1, .25, .5, 1, 2.5, 5},
	})
	r.MustRegister(h)
	return h
}

// Observe is called before a sync of a file, and the function that it returns after it. A sync that takes long is logged
// while it lasts, too: the process may end before it does.
func (o *Observer) Observe(path string) func() {
	start := time.Now()
	lasting := time.AfterFunc(slowSync, func() { o.log(path, start, false) })
	return func() {
		o.Durations.Observe(time.Since(start).Seconds())
		if !lasting.Stop() {
			o.log(path, start, true)
		}
	}
}

func (o *Observer) log(path string, start time.Time, ended bool) {
	_ = level.Warn(o.Logger).Log("msg", "slow sync", "file", filepath.Base(path), "took", time.Since(start), "ended", ended)
}

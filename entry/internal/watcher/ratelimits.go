package watcher

import (
	"maps"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/gossiper"
	"chervilrail.example/core/placer"
	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
)

// maxRateLimits is the number of limits from which those that have ended are dropped.
const maxRateLimits = 4096

// applyRateLimits merges the limits of targets, and reports whether any of them was newer.
func (w *Watcher) applyRateLimits(limits []*wire.RateLimit) bool {
	changed := false
	for _, l := range limits {
		if old, ok := w.state.limits[l.GetTarget()]; ok && !gossiper.RateLimit(l).Supersedes(gossiper.RateLimit(old)) {
			continue
		}
		if len(w.state.limits) >= maxRateLimits {
			maps.DeleteFunc(w.state.limits, func(_ string, old *wire.RateLimit) bool { return !old.GetNamed() })
		}
		w.state.limits[l.GetTarget()] = l
		changed = true
		_ = level.Info(w.Logger).Log("msg", "limit of a target", "target", l.GetTarget(), "incarnation",
			l.GetIncarnation(), "named", l.GetNamed(), "rate", l.GetRate(), "version", l.GetVersion())
	}
	return changed
}

// reportLimits queues reports of all limits that hold.
func (w *Watcher) reportLimits() {
	for _, l := range w.state.limits {
		if l.GetNamed() {
			w.ReportRateLimit(l)
		}
	}
}

// rateLimit returns the limit of a target as far as the controllers know it.
func (w *Watcher) rateLimit(r *wire.Record) placer.RateLimit {
	l, ok := w.state.limits[r.GetName()]
	if !ok || l.GetIncarnation() != registrar.Generation(r) {
		return placer.RateLimit{}
	}
	return gossiper.RateLimit(l)
}

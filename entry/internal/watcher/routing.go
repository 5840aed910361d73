package watcher

import (
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/logger"
	"chervilrail.example/core/planner"
	"chervilrail.example/core/wire"
)

// applyRouting accepts the plan and evacuations if their revision is newer, and reports whether what is in force has
// changed. A controller that lags, or that was restored from an old disk, must not make an accepted change revert here.
func (w *Watcher) applyRouting(sent, now time.Time, r *wire.WatchResponse) bool {
	s := &w.state
	newer := r.GetRevision() > s.revision
	if newer {
		w.applyRevision(now, r)
	}
	if at := confirmedAt(sent, r); r.GetRevision() >= s.revision && at.After(s.confirmed) {
		s.confirmed = at
	}
	if s.established {
		return newer
	}
	return w.establish(sent, now, r)
}

// establish puts the first plan into force once it is known to be no older than a change may take, and reports whether
// it did. The controller that sent the plan may have recovered it from its disk and not know yet what was accepted last,
// or its response may have been on its way for long.
func (w *Watcher) establish(sent, now time.Time, r *wire.WatchResponse) bool {
	s := &w.state
	if at := confirmedAt(sent, r); r.GetRevision() < s.revision && now.Sub(at) <= changeTimeout {
		// Controllers that recovered from snapshots number the same state differently. Nothing was served by the plan that
		// was never confirmed, so the confirmed one is requested in its place.
		s.revision, s.plan = 0, nil
	}
	if s.plan == nil || now.Sub(s.confirmed) > changeTimeout {
		return false
	}
	s.established = true
	w.logPlan(now)
	return true
}

// applyRevision stores the plan and evacuations of a response.
func (w *Watcher) applyRevision(now time.Time, r *wire.WatchResponse) {
	s := &w.state
	s.revision = r.GetRevision()
	if r.GetPlan() != nil && (s.plan == nil || r.GetPlan().GetVersion() > s.plan.Plan.GetVersion()) {
		s.plan = planner.NewTable(r.GetPlan())
		if s.established {
			w.logPlan(now)
		}
	}
	if !slices.Equal(s.evacuated, r.GetEvacuated()) {
		w.markReturnedCold(now, r.GetEvacuated())
		s.evacuated = r.GetEvacuated()
		_ = level.Info(w.Logger).Log("msg", "evacuated zones", "zones", strings.Join(s.evacuated, ","),
			"revision", s.revision)
	}
}

func (w *Watcher) logPlan(now time.Time) {
	s := &w.state
	_ = level.Info(w.Logger).Log("msg", "plan in force", "version", s.plan.Plan.GetVersion(), "revision", s.revision,
		"routes", len(s.plan.Plan.GetRoutes()), "controller", s.controller, "age", logger.Age(now, s.confirmed))
}

// confirmedAt returns a time for which the state in the response to a call sent at a given time is known to have been
// the newest, or zero. The response may have been on its way for as long as the call took, so the time counts from when
// the call was sent.
func confirmedAt(sent time.Time, r *wire.WatchResponse) time.Time {
	if !r.GetConfirmed() {
		return time.Time{}
	}
	return sent.Add(time.Duration(r.GetHeld() - r.GetAge()))
}

// markReturnedCold marks the targets of a zone as cold when its evacuation ends: their caches had no traffic, and the
// full load at once would crash them.
func (w *Watcher) markReturnedCold(now time.Time, evacuated []string) {
	for _, record := range w.state.targets.All() {
		zone := record.GetZone()
		if !slices.Contains(w.state.evacuated, zone) || slices.Contains(evacuated, zone) || w.state.plan == nil {
			continue
		}
		if service, ok := w.state.plan.Service(record.GetService()); ok {
			w.state.coldUntil[record.GetName()] = now.Add(time.Duration(service.GetCold()))
		}
	}
}

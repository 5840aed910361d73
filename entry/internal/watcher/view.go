package watcher

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/gauger"
	"chervilrail.example/core/partitioner"
	"chervilrail.example/core/placer"
	"chervilrail.example/core/planner"
	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/locator"
)

// View is an immutable snapshot of the control state.
type View struct {
	// Table is the routing plan in force.
	Table *planner.Table
	// Targets holds the targets that may receive requests, by service.
	Targets map[string][]placer.Spec
	// InstanceCount is how many entry instances share the targets, at least 1.
	InstanceCount int
	// Position returns this instance's position among those that may send to a target with a limit.
	Position placer.Position
	// Peers are the entry instances of this region that can be called and are not leaving, including this one.
	Peers []locator.Peer
}

// apply puts a controller's response to a call sent at a given time into force, and publishes a new view if anything
// relevant changed.
func (w *Watcher) apply(sent, now time.Time, r *wire.WatchResponse) {
	s := &w.state
	if s.run != r.GetRun() {
		// The controllers may all have restarted, and then know no limits.
		w.reportLimits()
	}
	s.position = position{run: r.GetRun(), counter: r.GetCounter(), hosted: r.GetHosted()}
	s.observed, s.loaded = cmp.Or(r.GetObserved(), r.GetCounter()), r.GetLoaded()
	w.applyControllers(r)
	stale := w.applyRouting(sent, now, r)
	stale = w.applyRecords(now, r.GetRecords()) || stale
	stale = w.applyInstances(r) || stale
	stale = w.applyRateLimits(r.GetRatelimits()) || stale
	stale = w.expireCold(now) || stale
	if len(r.GetLosses()) > 0 {
		w.OnLosses(r.GetLosses())
	}
	if len(r.GetHosts()) > 0 {
		w.OnHosts(r.GetHosts())
	}
	if len(r.GetLoads().GetTargets()) > 0 {
		w.OnLoads(gauger.Decode(r.GetLoads()))
	}
	if len(r.GetBackoffs()) > 0 {
		w.OnBackoffs(r.GetBackoffs())
	}
	s.unpublished = s.unpublished || stale
	// Objects placed by the first part of the targets would move again with the next.
	incomplete := r.GetPartial() && w.View() == nil
	if s.unpublished && s.established && !incomplete {
		s.unpublished = false
		w.publish(now)
	}
}

// expireCold drops the cold periods that have ended and reports whether there were any; the slots of such targets are
// then assigned again.
func (w *Watcher) expireCold(now time.Time) bool {
	expired := false
	for name, end := range w.state.coldUntil {
		if !now.Before(end) {
			delete(w.state.coldUntil, name)
			expired = true
		}
	}
	return expired
}

func (w *Watcher) applyControllers(r *wire.WatchResponse) {
	if addresses := w.parseAddresses(r.GetControllers()); len(addresses) > 0 {
		w.state.controllers = addresses
	}
	w.state.near = w.parseAddresses(r.GetNear())
}

func (w *Watcher) parseAddresses(texts []string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, text := range texts {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			_ = level.Warn(w.Logger).Log("msg", "invalid controller address", "address", text, "err", err)
			continue
		}
		out = append(out, a)
	}
	return out
}

// applyInstances updates the entry instances that share the targets, and reports whether the response contained any
// change of them.
func (w *Watcher) applyInstances(r *wire.WatchResponse) bool {
	if r.GetWhole() {
		w.state.instances = map[string]*wire.Node{}
	}
	for _, seen := range r.GetSeen() {
		n := seen.GetNode()
		w.state.instances[n.GetName()] = n
		if n.GetLost() {
			delete(w.state.instances, n.GetName())
		}
	}
	return r.GetWhole() || len(r.GetSeen()) > 0
}

// maxLoggedTargets is the largest number of targets in a response that are logged one by one. A full response would
// otherwise cause a line for each target at each entry instance; the controllers log every target that announces itself
// or leaves.
const maxLoggedTargets = 8

// applyRecords merges the announcements of targets, and reports whether any of them was newer.
func (w *Watcher) applyRecords(now time.Time, records []*wire.Record) bool {
	merged, ready := 0, 0
	for _, r := range records {
		if !w.applyRecord(now, r) {
			continue
		}
		merged++
		if r.GetState() == wire.TargetState_TARGET_READY && !r.GetSilent() {
			ready++
		}
		if len(records) <= maxLoggedTargets {
			_ = level.Info(w.Logger).Log("msg", "target", "target", r.GetName(), "incarnation", r.GetIncarnation(),
				"sequence", r.GetSequence(), "service", r.GetService(), "zone", r.GetZone(), "state", r.GetState(),
				"silent", r.GetSilent(), "overrides", r.GetOverrides(), "cold", time.Duration(r.GetCold()))
		}
	}
	if len(records) > maxLoggedTargets {
		_ = level.Info(w.Logger).Log("msg", "targets", "taken", merged, "ready", ready, "gone", merged-ready,
			"controller", w.state.controller, "counter", w.state.counter)
	}
	return merged > 0
}

// applyRecord merges one announcement, and reports whether it was newer. A cold period is only ever extended.
func (w *Watcher) applyRecord(now time.Time, r *wire.Record) bool {
	if !w.state.targets.Merge(now, r) {
		return false
	}
	if end := now.Add(time.Duration(r.GetCold())); r.GetCold() > 0 && end.After(w.state.coldUntil[r.GetName()]) {
		w.state.coldUntil[r.GetName()] = end
	}
	return true
}

// publish builds a view from the state and calls OnView. Targets that are not ready, whose announcements have stopped
// or whose zone is evacuated are left out.
func (w *Watcher) publish(now time.Time) {
	s := &w.state
	v := &View{Table: s.plan, Targets: map[string][]placer.Spec{}, InstanceCount: max(1, len(s.instances))}
	for _, record := range s.targets.All() {
		address, err := netip.ParseAddrPort(record.GetAddress())
		if err != nil || record.GetState() != wire.TargetState_TARGET_READY || record.GetSilent() ||
			slices.Contains(s.evacuated, record.GetZone()) {
			continue
		}
		service, ok := s.plan.Service(record.GetService())
		if !ok {
			continue
		}
		v.Targets[record.GetService()] = append(v.Targets[record.GetService()], placer.Spec{
			Name: record.GetName(), Incarnation: registrar.Generation(record), Address: address,
			Region: record.GetRegion(), Zone: record.GetZone(), Slots: record.GetSlots(),
			ColdUntil: s.coldUntil[record.GetName()], Rate: coldRate(service),
			Limit: w.rateLimit(record),
		})
	}
	v.Peers = w.peers()
	members := w.members()
	v.Position = func(target, region string) (int, int) {
		return partitioner.Position(w.Instance.GetName(), target, members, region)
	}
	for name := range v.Targets {
		w.assignSlots(now, v.Targets[name], members)
	}
	w.view.Store(v)
	w.OnView(v)
}

// peers lists the entry instances of this region, including this one, that are not leaving and have a valid peer
// address, sorted by name.
func (w *Watcher) peers() []locator.Peer {
	instances := maps.Clone(w.state.instances)
	instances[w.Instance.GetName()] = w.describe(false)
	var out []locator.Peer
	for _, n := range instances {
		if n.GetRegion() != w.Instance.GetRegion() || n.GetLeaving() {
			continue
		}
		address, err := netip.ParseAddrPort(n.GetPeer())
		if err != nil {
			_ = level.Debug(w.Logger).Log("msg", "entry instance has no valid peer address",
				"peer", n.GetName(), "err", err)
			continue
		}
		out = append(out, locator.Peer{Name: n.GetName(), Address: address})
	}
	slices.SortFunc(out, func(a, b locator.Peer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// coldOvershoot and coldAllowance limit the requests to a cold target: it may receive up to coldOvershoot times its
// rate plus coldAllowance in a second. Two entry instances may both consider a cold target their own until they have
// learnt of each other, so each uses at most half.
const (
	coldOvershoot = 1.5
	coldAllowance = 5
)

// coldRate returns how many requests per second this instance may send to a cold target of the service; 1 if the
// service sets no rate.
func coldRate(s *wire.Service) float64 {
	if s.GetRate() == 0 {
		return 1
	}
	return min(s.GetRate(), (s.GetRate()*coldOvershoot+coldAllowance)/2)
}

// members lists the entry instances that share the targets: this one and all others that are not leaving.
func (w *Watcher) members() *partitioner.Members {
	out := []partitioner.Instance{{Name: w.Instance.GetName(), Region: w.Instance.GetRegion()}}
	for _, n := range w.state.instances {
		if n.GetName() != w.Instance.GetName() && !n.GetLeaving() {
			out = append(out, partitioner.Instance{Name: n.GetName(), Region: n.GetRegion()})
		}
	}
	return partitioner.NewMembers(out)
}

// assignSlots sets how many slots of each target belong to this instance. Each slot is given to one entry instance, but
// all slots of a cold target to the same one.
func (w *Watcher) assignSlots(now time.Time, specs []placer.Spec, members *partitioner.Members) {
	slots := make([]partitioner.Target, 0, len(specs))
	for _, s := range specs {
		slots = append(slots, partitioner.Target{Name: s.Name, Region: s.Region, Slots: s.Slots})
	}
	ownSlots := partitioner.Partition(w.Instance.GetName(), members, slots)
	for i := range specs {
		specs[i].OwnSlots = ownSlots[i]
		if !now.Before(specs[i].ColdUntil) {
			continue
		}
		specs[i].OwnSlots = 0
		if partitioner.Owner(specs[i].Name, members, specs[i].Region) == w.Instance.GetName() {
			specs[i].OwnSlots = specs[i].Slots
		}
	}
}

// NoPlanError reports that this instance has no routing plan yet.
type NoPlanError struct{}

// Error implements error.
func (*NoPlanError) Error() string { return "no routing plan yet" }

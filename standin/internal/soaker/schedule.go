package soaker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault, named as it is printed.
type kind string

// The kinds of faults. Faults of controllers leave a majority of them, except for controllerKillAll and killAll, which
// also kills all entry instances and takes the place of every other controllerKillAll.
const (
	entryKill         kind = "entry-kill"
	entryStop         kind = "entry-stop"
	entryFreeze       kind = "entry-freeze"
	entryReload       kind = "entry-reload"
	controllerStop    kind = "controller-stop"
	controllerKill    kind = "controller-kill"
	controllerFreeze  kind = "controller-freeze"
	controllerWipe    kind = "controller-wipe"
	controllerKillAll kind = "controller-kill-all"
	killAll           kind = "kill-all"
	targetKill        kind = "target-kill"
	targetLeave       kind = "target-leave"
	linkReset         kind = "link-reset"
	linkSilence       kind = "link-silence"
	linkMute          kind = "link-mute"
	linkDelay         kind = "link-delay"
	evacuation        kind = "evacuation"
	controlSilence    kind = "control-silence"
	foreignHeartbeat  kind = "foreign-heartbeat"
)

// The kinds of what targets say in their answers: that they want no requests, one of them or all at once, that they take
// only some, and that they leave, without an announcement.
const (
	targetReject     kind = "target-reject"
	targetsRejectAll kind = "targets-reject-all"
	targetLimit      kind = "target-limit"
	targetSaysLeave  kind = "target-says-leave"
)

var statements = []kind{targetReject, targetReject, targetsRejectAll, targetLimit, targetSaysLeave}

var kinds = []kind{
	entryKill, entryStop, entryFreeze, entryReload, controllerKill, controllerFreeze, controllerWipe, controllerKillAll,
	targetKill, targetLeave, linkReset, linkSilence, linkMute, linkDelay, evacuation,
}

// controllerLosses are the faults in which a controller loses its vote or its disk.
var controllerLosses = []kind{controllerKill, controllerFreeze, controllerWipe, controllerKillAll}

const (
	// The gap between two faults is minGap plus a random part of gapSpread. Many faults last longer, so they overlap.
	minGap    = 100 * time.Millisecond
	gapSpread = 900 * time.Millisecond
	// A temporary fault lasts minDuration plus a random part of durationSpread.
	minDuration    = 300 * time.Millisecond
	durationSpread = 2500 * time.Millisecond
	// minLossInterval is the minimum time between two controller losses. A replacement needs this long to receive the
	// whole state and become a voter.
	minLossInterval = 8 * time.Second
	// The same gap between two statements of targets.
	statementGap    = 300 * time.Millisecond
	statementSpread = 1500 * time.Millisecond
	// The same gap between two faults of the connections to controllers.
	silenceGap    = 2 * time.Second
	silenceSpread = 4 * time.Second
	// The same gap between two heartbeats of other writers.
	foreignGap    = 500 * time.Millisecond
	foreignSpread = 3 * time.Second
	// The same gap between two planned stops, and between two reloads.
	stopGap      = 800 * time.Millisecond
	stopSpread   = 3 * time.Second
	reloadGap    = 500 * time.Millisecond
	reloadSpread = 5 * time.Second
	// The same gap between two planned stops of controllers. They excuse all instances that work by an older plan, so only
	// one seed in controllerStopSeeds has them.
	controllerStopSeeds  = 3
	controllerStopGap    = 3 * time.Second
	controllerStopSpread = 10 * time.Second
	// The same gap between two stops of stopKinds, and between two restarts of all instances. They excuse instances that work
	// by an older plan, so of signalSeeds seeds one has only the former, one only the latter, and one both.
	signalSeeds      = 7
	signalsOnly      = 3
	restartAllOnly   = 0
	signalsAndAll    = 4
	signalsGap       = time.Second
	signalsSpread    = 4 * time.Second
	restartAllGap    = 3 * time.Second
	restartAllSpread = 25 * time.Second
	// The same gap between two faults of targets whose requests take long.
	workerGap    = 2 * time.Second
	workerSpread = 8 * time.Second
	// limitHold is how long a limit holds beyond the duration of its fault: it counts only after some seconds.
	limitHold = 7 * time.Second
)

// The streams of random numbers of a seed.
const (
	faultStream = 1 + iota
	statementStream
	silenceStream
	foreignStream
	stopStream
	reloadStream
	controllerStopStream
	signalStream
	restartAllStream
	workerStream
)

// fault is one entry of a schedule.
type fault struct {
	at   time.Duration
	kind kind
	// index selects the process, target or zone, modulo their number.
	index    int
	duration time.Duration
}

// schedule generates the faults of a run from its seed. The same seed and length give the same faults.
func schedule(seed uint64, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, faultStream))
	var out []fault
	lastLoss := -minLossInterval
	for at := minGap; at < length; at += minGap + time.Duration(random.Int64N(int64(gapSpread))) {
		f := fault{
			at: at, kind: kinds[random.IntN(len(kinds))], index: random.IntN(1 << 16),
			duration: minDuration + time.Duration(random.Int64N(int64(durationSpread))),
		}
		if slices.Contains(controllerLosses, f.kind) {
			if at-lastLoss < minLossInterval {
				continue
			}
			lastLoss = at
		}
		if f.kind == controllerKillAll && f.index%2 == 1 {
			f.kind = killAll
		}
		out = append(out, f)
	}
	if seed%controllerStopSeeds == 0 {
		out = append(out,
			scheduleOne(seed, controllerStopStream, length, controllerStop, controllerStopGap, controllerStopSpread)...)
	}
	if n := seed % signalSeeds; n == signalsOnly || n == signalsAndAll {
		out = append(out, scheduleSome(seed, signalStream, length, stopKinds, signalsGap, signalsSpread)...)
	}
	if n := seed % signalSeeds; n == restartAllOnly || n == signalsAndAll {
		out = append(out,
			scheduleOne(seed, restartAllStream, length, entryRestartAll, restartAllGap, restartAllSpread)...)
	}
	return slices.SortedStableFunc(slices.Values(slices.Concat(
		out, scheduleStatements(seed, length),
		scheduleOne(seed, silenceStream, length, controlSilence, silenceGap, silenceSpread),
		scheduleOne(seed, foreignStream, length, foreignHeartbeat, foreignGap, foreignSpread),
		scheduleOne(seed, stopStream, length, entryStop, stopGap, stopSpread),
		scheduleSome(seed, workerStream, length, workerKinds, workerGap, workerSpread),
		scheduleOne(seed, reloadStream, length, entryReload, reloadGap, reloadSpread))),
		func(a, b fault) int { return cmp.Compare(a.at, b.at) })
}

// scheduleStatements generates the statements of targets.
func scheduleStatements(seed uint64, length time.Duration) []fault {
	return slices.DeleteFunc(scheduleSome(seed, statementStream, length, statements, statementGap, statementSpread),
		func(f fault) bool { return f.kind == targetLimit && f.at+f.duration+limitHold > length })
}

// scheduleSome generates faults of some kinds, from a stream of random numbers of its own, so that the other faults of a
// seed do not depend on them.
func scheduleSome(seed, stream uint64, length time.Duration, some []kind, gap, spread time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, stream))
	var out []fault
	for at := gap; at < length; at += gap + time.Duration(random.Int64N(int64(spread))) {
		out = append(out, fault{
			at: at, kind: some[random.IntN(len(some))], index: random.IntN(1 << 16),
			duration: minDuration + time.Duration(random.Int64N(int64(durationSpread))),
		})
	}
	return out
}

// scheduleOne generates faults of one kind, from a stream of its own as well.
func scheduleOne(seed, stream uint64, length time.Duration, one kind, gap, spread time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, stream))
	var out []fault
	for at := gap; at < length; at += gap + time.Duration(random.Int64N(int64(spread))) {
		out = append(out, fault{at: at, kind: one, index: random.IntN(1 << 16)})
	}
	return out
}

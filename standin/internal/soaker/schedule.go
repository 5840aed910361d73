package soaker

import (
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault.
type kind string

// The faults. Those of controllers leave a majority, but for the one that kills all.
const (
	entryKill         kind = "entry-kill"
	entryStop         kind = "entry-stop"
	entryFreeze       kind = "entry-freeze"
	entryReload       kind = "entry-reload"
	controllerKill    kind = "controller-kill"
	controllerFreeze  kind = "controller-freeze"
	controllerWipe    kind = "controller-wipe"
	controllerKillAll kind = "controller-kill-all"
	targetKill        kind = "target-kill"
	targetLeave       kind = "target-leave"
	linkReset         kind = "link-reset"
	linkSilence       kind = "link-silence"
	linkMute          kind = "link-mute"
	linkDelay         kind = "link-delay"
	evacuation        kind = "evacuation"
)

var kinds = []kind{
	entryKill, entryStop, entryFreeze, entryReload, controllerKill, controllerFreeze, controllerWipe, controllerKillAll,
	targetKill, targetLeave, linkReset, linkSilence, linkMute, linkDelay, evacuation,
}

// controllerLosses are the faults that take a controller's vote or disk.
var controllerLosses = []kind{controllerKill, controllerFreeze, controllerWipe, controllerKillAll}

const (
	// minGap and gapSpread space the faults; many last longer, so they overlap.
	minGap    = 100 * time.Millisecond
	gapSpread = 900 * time.Millisecond
	// minDuration and spanSpread are how long a fault lasts that has an end.
	minDuration    = 300 * time.Millisecond
	durationSpread = 2500 * time.Millisecond
	// minLossInterval is the least time between two losses: as long as a replacement
	// takes to hold everything and get its seat.
	minLossInterval = 8 * time.Second
)

// fault is one entry of a schedule.
type fault struct {
	at   time.Duration
	kind kind
	// index picks the victim among those of its kind.
	index    int
	duration time.Duration
}

// schedule draws the faults of a run from its seed.
func schedule(seed uint64, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 1))
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
		out = append(out, f)
	}
	return out
}

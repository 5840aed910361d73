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

// losses are the faults that take a controller's vote or disk.
var losses = []kind{controllerKill, controllerFreeze, controllerWipe, controllerKillAll}

const (
	// minGap and gapSpread space the faults; many last longer, so they overlap.
	minGap    = 100 * time.Millisecond
	gapSpread = 900 * time.Millisecond
	// minSpan and spanSpread are how long a fault lasts that has an end.
	minSpan    = 300 * time.Millisecond
	spanSpread = 2500 * time.Millisecond
	// lossPause is the least time between two losses: as long as a replacement
	// takes to hold everything and get its seat.
	lossPause = 8 * time.Second
)

// fault is one entry of a schedule.
type fault struct {
	at   time.Duration
	kind kind
	// which picks the victim among those of its kind.
	which int
	span  time.Duration
}

// schedule draws the faults of a run from its seed.
func schedule(seed uint64, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var out []fault
	loss := -lossPause
	for at := minGap; at < length; at += minGap + time.Duration(random.Int64N(int64(gapSpread))) {
		f := fault{
			at: at, kind: kinds[random.IntN(len(kinds))], which: random.IntN(1 << 16),
			span: minSpan + time.Duration(random.Int64N(int64(spanSpread))),
		}
		if slices.Contains(losses, f.kind) {
			if at-loss < lossPause {
				continue
			}
			loss = at
		}
		out = append(out, f)
	}
	return out
}

package exchanger

import (
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/logger"
)

const (
	// currentAge is up to which age this controller's state counts as current: several heartbeats of the leader and a
	// round trip.
	currentAge = time.Second
	// behindAfter is the age from which entry instances turn to a controller that is current. A change has to be in force
	// at them within 2.5 s, and the turn takes half a second.
	behindAfter = 1500 * time.Millisecond
	// catchUpTime is the time within which all controllers hear of a new leader. Before, those that do not know it yet are
	// not behind the others.
	catchUpTime = 500 * time.Millisecond
)

// checkLink notifies watchers when they have to turn to another controller or may come back, and when this one's state
// becomes current, for which instances wait that start.
func (x *Exchanger) checkLink(now time.Time) {
	linked, confirmed := x.linked(now), x.Consensus.Confirmed()
	current := isCurrent(now, confirmed)
	x.mu.Lock()
	defer x.mu.Unlock()
	if linked == x.wasLinked && current == x.wasCurrent {
		return
	}
	notify := linked != x.wasLinked || current
	x.wasLinked, x.wasCurrent = linked, current
	_ = level.Warn(x.Logger).Log("msg", "link to most controllers", "linked", linked, "current", current,
		"leader", x.Consensus.Routing().Leader, "age", logger.Age(now, confirmed))
	if notify {
		x.notifyWatchers()
	}
}

// hasQuorum reports whether this controller has recently reached a majority of the voters.
func (x *Exchanger) hasQuorum(now time.Time) bool {
	voters := x.Consensus.Routing().Voters()
	x.mu.Lock()
	defer x.mu.Unlock()
	return majority(voters, func(name string) bool { return x.gossip.Reachable(now, name) })
}

// linked reports whether entry instances are served here as well as elsewhere. A controller without contact to a majority
// of the voters misses decisions that are binding for them, such as that a target leaves. One that misses only the
// leader's messages has contact to all others, and never learns of a change. While no controller is current, all of them
// wait for an election, and to turn to another would not help.
func (x *Exchanger) linked(now time.Time) bool {
	if !x.hasQuorum(now) {
		return false
	}
	if now.Sub(x.Consensus.Confirmed()) <= behindAfter {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.gossip.OtherIsCurrent(now.Add(-catchUpTime), now)
}

// majority reports whether a condition holds for more than half of the voters.
func majority(voters []string, holds func(name string) bool) bool {
	n := 0
	for _, name := range voters {
		if holds(name) {
			n++
		}
	}
	return n > len(voters)/2
}

// isCurrent reports whether a state that was confirmed at a given time counts as current.
func isCurrent(now, confirmed time.Time) bool { return now.Sub(confirmed) <= currentAge }

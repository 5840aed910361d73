package exchanger

import (
	"fmt"
	"strconv"
)

// NoQuorumError reports that this controller can't reach a majority of the voters.
type NoQuorumError struct{}

// Error implements error.
func (*NoQuorumError) Error() string { return "most controllers can't be reached" }

// NotJoinedError reports that this controller has not joined the group yet and knows no other member.
type NotJoinedError struct{}

// Error implements error.
func (*NotJoinedError) Error() string { return "this controller has not joined the others yet" }

// NoLeaderError reports that this controller knows of no leader.
type NoLeaderError struct{}

// Error implements error.
func (*NoLeaderError) Error() string { return "no leading controller is known" }

// UnknownTargetError reports that a leaving target is not known to this controller. Another one may know it.
type UnknownTargetError struct {
	Target string
}

// Error implements error.
func (e *UnknownTargetError) Error() string { return "target " + e.Target + " is not known here" }

// NotSavedError reports that the leaves of some targets are not on this controller's disk yet.
type NotSavedError struct{ Leaves int }

// Error implements error.
func (e *NotSavedError) Error() string {
	return strconv.Itoa(e.Leaves) + " leaves of targets not saved"
}

// SupersededError reports that a leave of a target was not recorded, because its name or address is in use by an
// announcement with a higher number. The target repeats its leave until it has shown that it alone announces itself.
type SupersededError struct {
	Target      string
	Incarnation uint64
	// Known is the incarnation that is in use.
	Known uint64
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("%s: incarnation %d is in use, not %d", e.Target, e.Known, e.Incarnation)
}

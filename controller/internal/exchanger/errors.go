package exchanger

// UnlinkedError says that this controller can't reach most of the voters.
type UnlinkedError struct{}

// Error implements error.
func (*UnlinkedError) Error() string { return "most controllers can't be reached" }

// UnjoinedError says that this controller is not in the group yet, and knows no other one.
type UnjoinedError struct{}

// Error implements error.
func (*UnjoinedError) Error() string { return "this controller has not joined the others yet" }

// LeaderlessError says that no leading controller is known here.
type LeaderlessError struct{}

// Error implements error.
func (*LeaderlessError) Error() string { return "no leading controller is known" }

// UnknownTargetError says that a leaving target is not known here yet, while it may be elsewhere.
type UnknownTargetError struct {
	Target string
}

// Error implements error.
func (e *UnknownTargetError) Error() string { return "target " + e.Target + " is not known here" }

package consenter

import "fmt"

// NotLeaderError reports that another controller must be asked, and that the request certainly had no effect. Leader
// and Address are empty if no leader is known.
type NotLeaderError struct {
	Leader  string
	Address string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known"
	}
	return fmt.Sprintf("%s at %s leads", e.Leader, e.Address)
}

// ProposalReplacedError reports that a proposal was replaced by another one and certainly had no effect.
type ProposalReplacedError struct{}

// Error implements error.
func (e *ProposalReplacedError) Error() string {
	return "the proposal was replaced after a change of leader"
}

// OutcomeUnknownError reports that a proposal may or may not take effect; retry it under the same id.
type OutcomeUnknownError struct{}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return "the outcome is unknown; ask again with the same id"
}

// StalledError reports that the control goroutine does not run.
type StalledError struct{}

// Error implements error.
func (e *StalledError) Error() string { return "control state is not running" }

// WrongGroupError reports that the caller belongs to another group of controllers.
type WrongGroupError struct {
	Want uint64
	Have uint64
}

// Error implements error.
func (e *WrongGroupError) Error() string {
	return fmt.Sprintf("this controller belongs to group %x, not %x", e.Have, e.Want)
}

// IdentityError reports that a data folder belongs to another replica.
type IdentityError struct {
	Folder string
	Stored string
	Set    string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("data folder %s belongs to replica %s, the settings name %s", e.Folder, e.Stored, e.Set)
}

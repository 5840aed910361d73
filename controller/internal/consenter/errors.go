package consenter

import "fmt"

// NotLeaderError says that another controller must be asked; what was asked for certainly did not happen.
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

// ProposalReplacedError says that a proposal was replaced by another and certainly did not happen.
type ProposalReplacedError struct{}

// Error implements error.
func (e *ProposalReplacedError) Error() string {
	return "the proposal was replaced after a change of leader"
}

// OutcomeUnknownError says that a proposal may or may not happen; ask again under the same id.
type OutcomeUnknownError struct{}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return "the outcome is unknown; ask again with the same id"
}

// StalledError says that the control goroutine does not run.
type StalledError struct{}

// Error implements error.
func (e *StalledError) Error() string { return "control state is not running" }

// WrongGroupError says that the caller belongs to another group of controllers.
type WrongGroupError struct {
	Want uint64
	Have uint64
}

// Error implements error.
func (e *WrongGroupError) Error() string {
	return fmt.Sprintf("this controller belongs to group %x, not %x", e.Have, e.Want)
}

// IdentityError says that a data folder belongs to another replica.
type IdentityError struct {
	Folder string
	Stored string
	Set    string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("data folder %s belongs to replica %s, the settings name %s", e.Folder, e.Stored, e.Set)
}

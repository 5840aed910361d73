package replicator

import (
	"fmt"

	"chervilrail.example/core/wire"
)

// NotLeaderError is returned for a proposal to a replica that does not lead. Leader is the leader if one is known, else
// nil.
type NotLeaderError struct {
	Leader *wire.Member
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == nil {
		return "propose: no leader is known"
	}
	return fmt.Sprintf("propose: %s leads", e.Leader.GetName())
}

package replicator

import (
	"fmt"

	"chervilrail.example/core/wire"
)

// NotLeaderError says that only the leader takes proposals, and who that may be.
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

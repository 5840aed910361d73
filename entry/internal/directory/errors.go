package directory

import (
	"fmt"
	"time"
)

// UnconfirmedError reports that no leading controller has confirmed this instance's catalogue in time.
type UnconfirmedError struct {
	// Since is when the last confirmation expired; zero if there was none.
	Since time.Time
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	if e.Since.IsZero() {
		return "no controller has confirmed a catalogue yet"
	}
	return fmt.Sprintf("no controller has confirmed the catalogue since %s", e.Since.Format(time.RFC3339))
}

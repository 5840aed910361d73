package directory

import (
	"fmt"
	"time"
)

// LapsedError says that no leading controller confirmed this instance's catalogue in time.
type LapsedError struct {
	// Since is when the last confirmation ended; zero if there was none.
	Since time.Time
}

// Error implements error.
func (e *LapsedError) Error() string {
	if e.Since.IsZero() {
		return "no controller has confirmed a catalogue yet"
	}
	return fmt.Sprintf("no controller has confirmed the catalogue since %s", e.Since.Format(time.RFC3339))
}

package stopper

import (
	"time"

	"chervilrail.example/core/parser"
)

// minGrace and maxGrace bound the grace period, minTimeout the time of a planned stop where it is set itself.
const (
	minGrace   = time.Second
	maxGrace   = 24 * time.Hour
	minTimeout = time.Second
)

// ReadTimeout reads the grace period, zero for none, and the time that a planned stop may take. The latter is the fallback
// where neither is set, and follows from the grace period where only that is.
func ReadTimeout(d *parser.Document, s *parser.Section, fallback time.Duration) (grace, timeout time.Duration) {
	grace = d.Duration(s, "grace", 0, minGrace, maxGrace)
	if grace > 0 {
		fallback = TimeoutFor(grace)
	}
	timeout = d.Duration(s, "patience", fallback, minTimeout, maxGrace)
	if grace > 0 && timeout >= grace {
		d.Fault(s, "patience", "less than grace", timeout.String())
	}
	return grace, timeout
}

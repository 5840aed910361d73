package registrar

import (
	"fmt"
	"strconv"
)

// AnnouncementError reports that an announcement was refused, and because of which field.
type AnnouncementError struct {
	Field    string
	Expected string
	Got      string
}

// Error implements error.
func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("announcement: %s: expected %s, got %q", e.Field, e.Expected, e.Got)
}

func formatNumber(n int32) string { return strconv.Itoa(int(n)) }

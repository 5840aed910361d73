package registrar

import (
	"fmt"
	"strconv"
)

// AnnouncementError names the field of an announcement that can't be accepted.
type AnnouncementError struct {
	Field    string
	Expected string
	Got      string
}

// Error implements error.
func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("announcement: %s: expected %s, got %q", e.Field, e.Expected, e.Got)
}

func number(n int32) string { return strconv.Itoa(int(n)) }

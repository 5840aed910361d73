package logger

import "time"

// Age formats how long ago something was known, for logs; "unconfirmed" if it never was.
func Age(now, at time.Time) string {
	if at.IsZero() {
		return "unconfirmed"
	}
	return now.Sub(at).String()
}
